/// \file
/// Structured log lines: one JSON object a line on stderr, through spdlog.
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

/// How grave a line is.
enum class LogLevel : std::uint8_t { Debug, Info, Warning, Error };

/// The word for a level, lower-case. Thread-safe.
std::string_view toText(LogLevel Level);

/// Reads `debug`, `info`, `warning` or `error`. Errors: `BadInput` naming
/// `Place`. Thread-safe.
Result<LogLevel> parseLogLevel(std::string_view Text, std::string_view Place);

/// One line as it is written, without the newline: time (UTC, ISO 8601 with
/// microseconds), level, instance, message, then the fields in their order.
/// The value of a field whose key names a secret is replaced. Pure.
std::string formatLogLine(std::uint64_t WallMicroseconds, LogLevel Level,
                          std::string_view Instance, std::string_view Message,
                          const std::vector<EventField> &Fields);

/// Foreign bytes as a field's value: at most `Most` of them, and what is not
/// visible ASCII or a blank as a question mark. Pure.
std::string sanitizeForLog(std::string_view Text, std::size_t Most);

/// The log of one process. Thread-safe.
class Log {
public:
  struct Settings {
    /// Named in each line.
    std::string Instance;
    /// Graver lines and these are written.
    LogLevel Least = LogLevel::Info;
  };

  static std::shared_ptr<Log> create(Settings Limits);

  /// Writes a line to stderr; callers' prompts and answers don't belong there.
  void write(LogLevel Level, std::string_view Message,
             const std::vector<EventField> &Fields = {});

private:
  Log(Settings Limits, std::shared_ptr<spdlog::logger> Sink);

  const Settings Limits;
  const std::shared_ptr<spdlog::logger> Sink;
};

} // namespace wasabi

#endif // WASABI_ADAPTERS_TELEMETRY_LOG_H
