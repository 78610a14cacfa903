/// Encoding of typed messages as CBOR maps with integer keys.
///
/// A message type enumerates its fields in `ForEachField`:
///
///   struct ping {
///     std::string name;
///     std::uint64_t count = 0;
///     template <class Self, class Visitor>
///     static void ForEachField(Self& self, Visitor&& visit) {
///       visit(1, self.name);
///       visit(2, self.count);
///     }
///   };
///
/// Field numbers must not be reused. Unknown fields are skipped and missing fields keep their
/// default, so that processes of different versions interoperate during an upgrade. Strings are
/// encoded as CBOR byte strings.
#pragma once

#include "base/error.h"
#include "base/hash.h"

#include <QByteArray>
#include <QCborArray>
#include <QCborMap>
#include <QCborStreamWriter>
#include <QCborValue>

#include <algorithm>
#include <chrono>
#include <concepts>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <type_traits>
#include <vector>

namespace corianderhoist {

/// A visitor that does nothing; used to check for `ForEachField`.
struct null_field_visitor {
  template <class Field>
  void operator()(int, Field&&) const {}
};

/// A type that enumerates its fields with `ForEachField`.
template <class Type>
concept wire_message = requires(Type& value) {
  Type::ForEachField(value, null_field_visitor{});
};

namespace codec_detail {

/// A `std::chrono::duration` of any unit.
template <class Type>
concept duration = requires {
  typename Type::period;
}
&&std::is_arithmetic_v<typename Type::rep>;

/// Appends values to a CBOR stream. Durations are encoded as a count of their own unit.
class writer {
 public:
  explicit writer(QCborStreamWriter& out) : out_(out) {}

  void Put(const std::string& value) {
    out_.appendByteString(value.data(), static_cast<qsizetype>(value.size()));
  }
  void Put(const digest& value) {
    out_.appendByteString(reinterpret_cast<const char*>(value.data()),
                          static_cast<qsizetype>(value.size()));
  }
  void Put(bool value) { out_.append(value); }
  void Put(double value) { out_.append(value); }
  template <std::integral Integer>
  void Put(Integer value) {
    out_.append(static_cast<qint64>(value));
  }
  template <class Enum>
  requires std::is_enum_v<Enum>
  void Put(Enum value) { out_.append(static_cast<qint64>(value)); }
  template <duration Duration>
  void Put(Duration value) {
    out_.append(static_cast<qint64>(value.count()));
  }
  template <class Value>
  void Put(const std::optional<Value>& value) {
    if (value) {
      Put(*value);
    } else {
      out_.append(nullptr);
    }
  }
  template <class Value>
  void Put(const std::vector<Value>& values) {
    out_.startArray(values.size());
    for (const Value& value : values) {
      Put(value);
    }
    out_.endArray();
  }
  template <class Value>
  void Put(const std::map<std::string, Value>& values) {
    out_.startArray(values.size() * 2);
    for (const auto& [key, value] : values) {
      Put(key);
      Put(value);
    }
    out_.endArray();
  }
  template <wire_message Message>
  void Put(const Message& message) {
    static const Message kDefaults{};
    const auto* base = reinterpret_cast<const char*>(&message);
    out_.startMap();
    Message::ForEachField(message, [&]<class Field>(int key, const Field& field) {
      // A zero value is omitted if zero is also the default that the decoder keeps for the field.
      if constexpr (std::is_arithmetic_v<Field> || std::is_enum_v<Field> ||
                    std::is_same_v<Field, std::string>) {
        const auto offset = reinterpret_cast<const char*>(&field) - base;
        const auto* default_field =
            reinterpret_cast<const Field*>(reinterpret_cast<const char*>(&kDefaults) + offset);
        if (field == Field{} && *default_field == Field{}) {
          return;
        }
      }
      out_.append(static_cast<qint64>(key));
      Put(field);
    });
    out_.endMap();
  }

 private:
  QCborStreamWriter& out_;
};

/// Each `Get` returns false if the CBOR value does not match the type of the field.
class reader {
 public:
  static bool Get(const QCborValue& in, std::string& out) {
    if (!in.isByteArray()) {
      return false;
    }
    const QByteArray bytes = in.toByteArray();
    out.assign(bytes.data(), static_cast<std::size_t>(bytes.size()));
    return true;
  }
  static bool Get(const QCborValue& in, digest& out) {
    const QByteArray bytes = in.toByteArray();
    if (static_cast<std::size_t>(bytes.size()) != out.size()) {
      return false;
    }
    std::copy(bytes.begin(), bytes.end(), out.begin());
    return true;
  }
  static bool Get(const QCborValue& in, bool& out) {
    out = in.toBool();
    return in.isBool();
  }
  static bool Get(const QCborValue& in, double& out) {
    out = in.toDouble();
    return in.isDouble() || in.isInteger();
  }
  template <std::integral Integer>
  static bool Get(const QCborValue& in, Integer& out) {
    out = static_cast<Integer>(in.toInteger());
    return in.isInteger() && static_cast<qint64>(out) == in.toInteger();
  }
  template <class Enum>
  requires std::is_enum_v<Enum>
  static bool Get(const QCborValue& in, Enum& out) {
    out = static_cast<Enum>(in.toInteger());
    return in.isInteger() && in.toInteger() >= 0;
  }
  template <duration Duration>
  static bool Get(const QCborValue& in, Duration& out) {
    out = Duration(static_cast<typename Duration::rep>(in.toInteger()));
    return in.isInteger();
  }
  template <class Value>
  static bool Get(const QCborValue& in, std::optional<Value>& out) {
    if (in.isNull()) {
      out.reset();
      return true;
    }
    return Get(in, out.emplace());
  }
  template <class Value>
  static bool Get(const QCborValue& in, std::vector<Value>& out) {
    if (!in.isArray()) {
      return false;
    }
    out.clear();
    const QCborArray values = in.toArray();
    out.reserve(static_cast<std::size_t>(values.size()));
    for (const QCborValue& value : values) {
      Value element{};
      if (!Get(value, element)) {
        return false;
      }
      out.push_back(std::move(element));
    }
    return true;
  }
  template <class Value>
  static bool Get(const QCborValue& in, std::map<std::string, Value>& out) {
    const QCborArray values = in.toArray();
    if (!in.isArray() || values.size() % 2 != 0) {
      return false;
    }
    out.clear();
    for (qsizetype i = 0; i < values.size(); i += 2) {
      std::string key;
      if (!Get(values.at(i), key) || !Get(values.at(i + 1), out[key])) {
        return false;
      }
    }
    return true;
  }
  template <wire_message Message>
  static bool Get(const QCborValue& in, Message& out) {
    if (!in.isMap()) {
      return false;
    }
    const QCborMap fields = in.toMap();
    bool is_valid = true;
    Message::ForEachField(out, [&](int key, auto& field) {
      const QCborValue value = fields.value(key);
      if (!value.isUndefined() && !Get(value, field)) {
        is_valid = false;
      }
    });
    return is_valid;
  }
};

}  // namespace codec_detail

/// Returns `message` encoded as CBOR.
template <wire_message Message>
std::string Encode(const Message& message) {
  QByteArray bytes;
  QCborStreamWriter out(&bytes);
  codec_detail::writer(out).Put(message);
  return bytes.toStdString();
}

/// Decodes a CBOR message. Fails with `kMalformedMessage`.
template <wire_message Message>
result<Message> Decode(std::string_view bytes) {
  QCborParserError status;
  const QCborValue value = QCborValue::fromCbor(
      QByteArray::fromRawData(bytes.data(), static_cast<qsizetype>(bytes.size())), &status);
  Message message{};
  if (status.error != QCborError::NoError || !codec_detail::reader::Get(value, message)) {
    return Fail(error_kind::kMalformedMessage, "message is not the expected CBOR map");
  }
  return message;
}

}  // namespace corianderhoist
