/// \file
/// Structured log: one JSON object per line on stderr, through spdlog.
#ifndef WASABI_ADAPTERS_TELEMETRY_LOG_H
#define WASABI_ADAPTERS_TELEMETRY_LOG_H

#include "Wasabi/Core/Timeline.h"
#include "Wasabi/Core/Verdict.h"

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace spdlog {
class logger;
} // namespace spdlog

namespace wasabi {

/// Severity of a log line, in ascending order.
enum class LogLevel : std::uint8_t { Debug, Info, Warning, Error };

/// Returns the lower-case name of a level. Thread-safe.
std::string_view toText(LogLevel Level);

/// Parses `debug`, `info`, `warning` or `error`. Errors: `BadInput` naming
/// `Place`. Thread-safe.
Result<LogLevel> parseLogLevel(std::string_view Text, std::string_view Place);

/// Returns a log line without the newline: time (UTC, ISO 8601 with
/// microseconds), level, instance, message, then the fields in order. Values of
/// fields whose key indicates a secret are redacted. Pure.
std::string formatLogLine(std::uint64_t WallMicroseconds, LogLevel Level,
                          std::string_view Instance, std::string_view Message,
                          const std::vector<EventField> &Fields);

/// Returns at most `MaxBytes` bytes of `Text`, with each byte that is not
/// printable ASCII replaced by a question mark. Use for untrusted input. Pure.
std::string sanitizeForLog(std::string_view Text, std::size_t MaxBytes);

/// The log of one process. Thread-safe.
class Log {
public:
  struct Settings {
    /// Name of the instance, added to each line.
    std::string Instance;
    /// Lines below this level are discarded.
    LogLevel MinLevel = LogLevel::Info;
  };

  static std::shared_ptr<Log> create(Settings Limits);

  /// Writes a line to stderr. Do not log prompts or responses of callers.
  void write(LogLevel Level, std::string_view Message,
             const std::vector<EventField> &Fields = {});

private:
  Log(Settings Limits, std::shared_ptr<spdlog::logger> Sink);

  const Settings Limits;
  const std::shared_ptr<spdlog::logger> Sink;
};

} // namespace wasabi

#endif // WASABI_ADAPTERS_TELEMETRY_LOG_H
