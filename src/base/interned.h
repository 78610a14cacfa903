/// Interned values: equal values are stored once per process.
#pragma once

#include "base/hash.h"

#include <array>
#include <compare>
#include <cstddef>
#include <functional>
#include <initializer_list>
#include <memory>
#include <mutex>
#include <ostream>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>

namespace corianderhoist {

/// Hash of an interned value. Overloads for other types are found by argument-dependent lookup.
inline std::size_t InternHash(const std::string& value) {
  return FastHash(value);
}
template <class Container>
requires requires(const Container& values) {
  values.begin()->size();
}
std::size_t InternHash(const Container& values) {
  std::size_t hash = 0;
  for (const auto& value : values) {
    hash = hash * 31 + InternHash(value);
  }
  return hash;
}

/// A handle of two words to an immutable, reference-counted `Type`. Equal values share one object,
/// which is freed with the last handle. Thread safe. Converts to `const Type&` and forwards the
/// const accessors of containers.
template <class Type>
class interned {
 public:
  interned() = default;
  interned(const Type& value) : value_(Intern(value)) {}
  interned(std::string_view text) requires std::is_same_v<Type, std::string>
      : interned(std::string(text)) {}
  interned(const char* text) requires std::is_same_v<Type, std::string>
      : interned(std::string(text)) {}
  template <class Element>
  requires requires(std::initializer_list<Element> values) { Type(values); }
  interned(std::initializer_list<Element> values) : interned(Type(values)) {}

  const Type& Value() const { return value_ ? *value_ : Default(); }
  operator const Type&() const { return Value(); }
  const Type* operator->() const { return &Value(); }
  const Type& operator*() const { return Value(); }

  auto begin() const { return Value().begin(); }
  auto end() const { return Value().end(); }
  std::size_t size() const { return Value().size(); }
  bool empty() const { return Value().empty(); }
  decltype(auto) front() const { return Value().front(); }
  template <class Key>
  bool contains(const Key& key) const {
    return Value().contains(key);
  }

  friend bool operator==(const interned& left, const interned& right) {
    return left.value_ == right.value_ || left.Value() == right.Value();
  }
  friend auto operator<=>(const interned& left, const interned& right) {
    return left.Value() <=> right.Value();
  }
  friend bool operator==(const interned& left,
                         std::string_view right) requires std::is_same_v<Type, std::string> {
    return left.Value() == right;
  }
  friend auto operator<=>(const interned& left,
                          std::string_view right) requires std::is_same_v<Type, std::string> {
    return std::string_view(left.Value()) <=> right;
  }
  friend std::string operator+(const interned& left,
                               std::string_view right) requires std::is_same_v<Type, std::string> {
    return left.Value() + std::string(right);
  }
  friend std::string operator+(std::string left,
                               const interned& right) requires std::is_same_v<Type, std::string> {
    left += right.Value();
    return left;
  }
  friend std::ostream& operator<<(std::ostream& out, const interned& value) requires
      std::is_same_v<Type, std::string> {
    return out << value.Value();
  }

 private:
  using pointer = std::shared_ptr<const Type>;

  // Keys are pointers to the interned values, so the pool holds no second copy.
  struct hash_of {
    std::size_t operator()(const Type* value) const { return InternHash(*value); }
  };
  struct equality {
    bool operator()(const Type* left, const Type* right) const { return *left == *right; }
  };
  struct shard {
    std::mutex lock;
    std::unordered_map<const Type*, std::weak_ptr<const Type>, hash_of, equality> values;
  };
  static constexpr std::size_t kShardCount = 16;

  static const Type& Default() {
    static const Type kDefault{};
    return kDefault;
  }

  // The pool is never destroyed, because values in static objects may outlive it.
  static shard& ShardOf(const Type& value) {
    static auto* const kShards = new std::array<shard, kShardCount>();
    return (*kShards)[InternHash(value) / 31 % kShardCount];
  }

  static pointer Intern(const Type& value) {
    if (value == Default()) {
      return nullptr;
    }
    shard& chosen = ShardOf(value);
    const std::lock_guard guard(chosen.lock);
    const auto found = chosen.values.find(&value);
    if (found != chosen.values.end()) {
      if (pointer shared = found->second.lock()) {
        return shared;
      }
      chosen.values.erase(found);  // Expired: the last owner is about to call Release.
    }
    pointer added(new Type(value), Release);
    chosen.values.emplace(added.get(), added);
    return added;
  }

  static void Release(const Type* value) {
    shard& chosen = ShardOf(*value);
    {
      const std::lock_guard guard(chosen.lock);
      const auto found = chosen.values.find(value);
      if (found != chosen.values.end() && found->first == value) {
        chosen.values.erase(found);
      }
    }
    delete value;
  }

  pointer value_;
};

using interned_string = interned<std::string>;

}  // namespace corianderhoist
