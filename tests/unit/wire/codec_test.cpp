// Codec: messages round-trip, decode across versions that differ by a field, and damaged input is
// rejected.
#include "wire/codec.h"
#include "support/test_certificate_authority.h"
#include "support/test_table.h"

#include <random>

namespace corianderhoist {
namespace {

struct inner_message {
  std::string text;
  template <class Self, class Visitor>
  static void ForEachField(Self& self, Visitor&& visit) {
    visit(1, self.text);
  }
};

struct outer_message {
  std::uint64_t number = 0;
  std::optional<inner_message> maybe;
  std::vector<inner_message> many;
  std::map<std::string, std::uint32_t> by_name;
  digest hash{};
  std::chrono::milliseconds wait{};
  bool flag = false;

  template <class Self, class Visitor>
  static void ForEachField(Self& self, Visitor&& visit) {
    visit(1, self.number);
    visit(2, self.maybe);
    visit(3, self.many);
    visit(4, self.by_name);
    visit(5, self.hash);
    visit(6, self.wait);
    visit(7, self.flag);
  }
};

// inner_message as a later version of the program with an additional field sends it.
struct newer_message {
  std::string text = "t";
  std::uint64_t added = 5;
  template <class Self, class Visitor>
  static void ForEachField(Self& self, Visitor&& visit) {
    visit(1, self.text);
    visit(99, self.added);
  }
};

outer_message Example() {
  return {std::uint64_t(1) << 63U,
          inner_message{std::string("a\0b", 3)},
          {{"x"}, {"y"}},
          {{"one", 1}, {"two", 2}},
          Sha256("x"),
          std::chrono::milliseconds(250),
          true};
}

const test_table kRoundTrip("codec", "every field type round-trips", [] {
  const outer_message sent = Example();
  const auto got = Expect([&] { return Decode<outer_message>(Encode(sent)); });
  CPPUNIT_ASSERT_EQUAL(sent.number, got.number);
  CPPUNIT_ASSERT_EQUAL(sent.maybe->text, got.maybe->text);
  CPPUNIT_ASSERT_EQUAL(sent.many[1].text, got.many[1].text);
  CPPUNIT_ASSERT(sent.by_name == got.by_name && sent.hash == got.hash);
  CPPUNIT_ASSERT(sent.wait == got.wait && got.flag);
});

const test_table
    kUpgrade("codec", "unknown fields are skipped and missing fields keep their default", [] {
      const auto small = Expect([] { return Decode<inner_message>(Encode(inner_message{})); });
      CPPUNIT_ASSERT(small.text.empty());
      const auto older = Expect([] { return Decode<inner_message>(Encode(newer_message{})); });
      CPPUNIT_ASSERT_EQUAL(std::string("t"), older.text);
    });

// Decoding a damaged message must fail or return some value, without crashing or hanging.
const test_table kDamage("codec", "20,000 damaged messages are handled (seed 7)", [] {
  std::mt19937 random(7);
  const std::string good = Encode(Example());
  int refused = 0;
  for (int i = 0; i < 20'000; ++i) {
    std::string bad = good.substr(0, random() % good.size() + 1);
    for (int flips = 0; flips < 3; ++flips) {
      bad[random() % bad.size()] ^= static_cast<char>(1U << (random() % 8));
    }
    refused += Recover(
        [&]() -> result<int> {
          BOOST_LEAF_CHECK(Decode<outer_message>(bad));
          return 0;
        },
        [](const error&) { return 1; });
  }
  CPPUNIT_ASSERT(refused > 15'000);
});

}  // namespace
}  // namespace corianderhoist
