// chunked_map behaves like std::map under random operations, and a copy is not affected by later
// modifications of the original. Interned values share memory.
#include "base/chunked_map.h"
#include "base/interned.h"
#include "support/test_table.h"

#include <rapidcheck.h>

#include <map>
#include <set>
#include <thread>

namespace corianderhoist {
namespace {

using map = chunked_map<int, int>;
using reference_map = std::map<int, int>;

bool AreEqual(const map& actual, const reference_map& expected) {
  return actual.size() == expected.size() &&
         std::equal(actual.begin(), actual.end(), expected.begin(),
                    [](const auto& left, const auto& right) {
                      return left.first == right.first && left.second == right.second;
                    });
}

const test_table kRandom("chunked map", "equals std::map under random edits, copies unchanged", [] {
  CPPUNIT_ASSERT(rc::check([] {
    map actual;
    reference_map expected;
    map copy;
    reference_map copy_expected;
    const auto steps = *rc::gen::container<std::vector<std::pair<int, int>>>(
        800, rc::gen::pair(rc::gen::inRange(0, 5), rc::gen::inRange(0, 600)));
    for (const auto& [kind, key] : steps) {
      if (kind == 0) {
        RC_ASSERT(actual.erase(key) == expected.erase(key));
      } else if (kind == 1) {
        actual.insert_or_assign(key, kind + key);
        expected.insert_or_assign(key, kind + key);
      } else if (kind == 2) {
        actual[key] += 3;
        expected[key] += 3;
      } else {
        RC_ASSERT(actual.emplace(key, key).second == expected.emplace(key, key).second);
      }
      RC_ASSERT(actual.contains(key) == expected.contains(key));
      if (key % 97 == 0) {
        RC_ASSERT(AreEqual(copy, copy_expected));
        copy = actual;
        copy_expected = expected;
      }
    }
    RC_ASSERT(AreEqual(actual, expected));
    RC_ASSERT(AreEqual(copy, copy_expected));
  }));
});

const test_table kOrder("chunked map", "holds entries inserted in any order", [] {
  for (const int step : {1, 7919, 9999}) {
    map actual;
    for (int i = 0; i < 10'000; ++i) {
      actual.emplace(i * step % 10'007, i);
    }
    int previous = -1;
    for (const auto& [key, value] : actual) {
      CPPUNIT_ASSERT(key > previous);
      previous = key;
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t(10'000), actual.size());
    for (int i = 0; i < 10'000; ++i) {
      CPPUNIT_ASSERT_EQUAL(i, actual.at(i * step % 10'007));
      actual.erase(i * step % 10'007);
    }
    CPPUNIT_ASSERT(actual.empty() && actual.begin() == actual.end());
  }
});

const test_table kInterned("interned", "equal values share memory, including across threads", [] {
  const interned_string first = "an order office ticket";
  CPPUNIT_ASSERT(&first.Value() == &interned_string(std::string("an order office ticket")).Value());
  CPPUNIT_ASSERT(interned<std::set<std::string>>({"a", "b"}).contains("b"));
  std::vector<std::thread> threads;
  threads.reserve(4);
  for (int thread = 0; thread < 4; ++thread) {
    threads.emplace_back([] {
      for (int i = 0; i < 20'000; ++i) {
        const std::string text = "value " + std::to_string(i % 3);
        const interned_string value = text;
        CPPUNIT_ASSERT_EQUAL(text, value.Value());
      }
    });
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
});

}  // namespace
}  // namespace corianderhoist
