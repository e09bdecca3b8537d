#ifndef FIREFLYTRESTLE_TESTS_LIBWIRE_RANDOMMESSAGES_H_
#define FIREFLYTRESTLE_TESTS_LIBWIRE_RANDOMMESSAGES_H_

#include <string>
#include <type_traits>
#include <variant>
#include <vector>

#include "libbase/randomsource.h"
#include "libwire/callermessage.h"
#include "libwire/upstreammessage.h"

namespace fireflytrestle {

/// Calls \p f with each field that the message type \p T has.
template <typename T, typename F>
void ForEachField(T& m, F f) {
  // clang-format off
  if constexpr (requires { m.nonce; }) f(m.nonce);
  if constexpr (requires { m.flow; }) f(m.flow);
  if constexpr (requires { m.sequence; }) f(m.sequence);
  if constexpr (requires { m.number; }) f(m.number);
  if constexpr (requires { m.start_identity; }) f(m.start_identity);
  if constexpr (requires { m.kind; }) f(m.kind);
  if constexpr (requires { m.non_idempotent; }) f(m.non_idempotent);
  if constexpr (requires { m.cold; }) f(m.cold);
  if constexpr (requires { m.last; }) f(m.last);
  if constexpr (requires { m.started; }) f(m.started);
  if constexpr (requires { m.draining; }) f(m.draining);
  if constexpr (requires { m.budget; }) f(m.budget);
  if constexpr (requires { m.deadline; }) f(m.deadline);
  if constexpr (requires { m.resume_after; }) f(m.resume_after);
  if constexpr (requires { m.attempt; }) f(m.attempt);
  if constexpr (requires { m.next_part; }) f(m.next_part);
  if constexpr (requires { m.missing; }) f(m.missing);
  if constexpr (requires { m.reason; }) f(m.reason);
  if constexpr (requires { m.index; }) f(m.index);
  if constexpr (requires { m.count; }) f(m.count);
  if constexpr (requires { m.event; }) f(m.event);
  if constexpr (requires { m.body; }) f(m.body);
  // clang-format on
}

/// Sets \p field to a random valid value. Numbers have a random bit length, so
/// that every msgpack integer width occurs.
template <typename T>
void Randomize(T& field, RandomSource& random) {
  using std::is_same_v;
  const std::uint64_t number = random.Next() >> random.Below(64);
  if constexpr (is_same_v<T, RequestKind>) {
    field = static_cast<RequestKind>(1 + number % 3);
  } else if constexpr (is_same_v<T, RefusalReason>) {
    field = static_cast<RefusalReason>(1 + number % 10);
  } else if constexpr (is_same_v<T, std::chrono::milliseconds>) {
    field = std::chrono::milliseconds(number & 0xFFFFFFFFU);
  } else if constexpr (is_same_v<T, std::span<const std::uint8_t>>) {
    static const std::vector<std::uint8_t> kBody(kMaxPartBytes, 0xC1);
    field = std::span(kBody).first(number % kMaxPartBytes);
  } else if constexpr (is_same_v<T, std::vector<std::uint8_t>>) {
    field.assign(number % 70000, 0x91);
  } else if constexpr (requires { field.begin(); }) {
    for (auto& byte : field) {
      byte = static_cast<std::uint8_t>(random.Next());
    }
  } else if constexpr (is_same_v<T, bool>) {
    field = number % 2 == 1;
  } else {
    field = static_cast<T>(number);
  }
}

/// Sets \p message to a random kind of message with random valid fields.
template <typename... Ts>
void RandomizeMessage(std::variant<Ts...>& message, RandomSource& random) {
  const std::variant<Ts...> all[] = {Ts{}...};
  message = all[random.Below(sizeof...(Ts))];
  std::visit(
      [&](auto& m) {
        ForEachField(m, [&](auto& field) { Randomize(field, random); });
        if constexpr (requires { m.sequence; }) {
          m.sequence = m.sequence == 0 ? 1 : m.sequence;
        }
      },
      message);
}

/// Returns the kind and all fields as numbers, for comparison.
template <typename V>
std::vector<std::uint64_t> Flatten(const V& message) {
  std::vector<std::uint64_t> values{message.index()};
  const auto add = [&](const auto& field) {
    if constexpr (requires { field.begin(); }) {
      values.push_back(field.size());
      values.insert(values.end(), field.begin(), field.end());
    } else if constexpr (requires { field.count(); }) {
      values.push_back(static_cast<std::uint64_t>(field.count()));
    } else {
      values.push_back(static_cast<std::uint64_t>(field));
    }
  };
  std::visit([&](const auto& m) { ForEachField(m, add); }, message);
  return values;
}

}  // namespace fireflytrestle

#endif  // FIREFLYTRESTLE_TESTS_LIBWIRE_RANDOMMESSAGES_H_
