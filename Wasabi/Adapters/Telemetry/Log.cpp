#include "Wasabi/Adapters/Telemetry/Log.h"

#include <boost/json/serialize.hpp>
#include <boost/json/string.hpp>
#include <boost/json/value.hpp>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <algorithm>
#include <array>
#include <ctime>

namespace wasabi {

namespace {

constexpr std::array<std::string_view, 6> SecretKeys = {
    "authorization", "cookie", "password", "secret", "api_key", "api-key"};
constexpr std::string_view Redacted = "[redacted]";
constexpr std::uint64_t MicrosPerSecond = 1000000;

bool isSecret(std::string_view Key) {
  std::string lower(Key);
  std::transform(lower.begin(), lower.end(), lower.begin(), [](char Letter) {
    return Letter >= 'A' && Letter <= 'Z'
               ? static_cast<char>(Letter - 'A' + 'a')
               : Letter;
  });
  return std::any_of(SecretKeys.begin(), SecretKeys.end(),
                     [&](std::string_view Word) {
                       return lower.find(Word) != std::string::npos;
                     });
}

std::string quoted(std::string_view Text) {
  return boost::json::serialize(boost::json::value(boost::json::string(Text)));
}

std::string utcText(std::uint64_t WallMicroseconds) {
  std::time_t seconds =
      static_cast<std::time_t>(WallMicroseconds / MicrosPerSecond);
  std::tm parts{};
  gmtime_r(&seconds, &parts);
  std::array<char, 32> buf{};
  std::strftime(buf.data(), buf.size(), "%Y-%m-%dT%H:%M:%S", &parts);
  std::string micros = std::to_string(WallMicroseconds % MicrosPerSecond);
  return std::string(buf.data()) + "." + std::string(6 - micros.size(), '0') +
         micros + "Z";
}

void appendField(std::string &Line, std::string_view Key,
                 std::string_view Value) {
  Line += Line.empty() ? "{" : ",";
  Line += quoted(Key);
  Line += ":";
  Line += quoted(Value);
}

spdlog::level::level_enum spdlogLevel(LogLevel Level) {
  switch (Level) {
  case LogLevel::Debug:
    return spdlog::level::debug;
  case LogLevel::Info:
    return spdlog::level::info;
  case LogLevel::Warning:
    return spdlog::level::warn;
  case LogLevel::Error:
    return spdlog::level::err;
  }
  return spdlog::level::err;
}

} // namespace

std::string_view toText(LogLevel Level) {
  switch (Level) {
  case LogLevel::Debug:
    return "debug";
  case LogLevel::Info:
    return "info";
  case LogLevel::Warning:
    return "warning";
  case LogLevel::Error:
    return "error";
  }
  return "error";
}

Result<LogLevel> parseLogLevel(std::string_view Text, std::string_view Place) {
  for (LogLevel level :
       {LogLevel::Debug, LogLevel::Info, LogLevel::Warning, LogLevel::Error}) {
    if (toText(level) == Text)
      return level;
  }
  return badInput(std::string(Place),
                  "'" + std::string(Text) +
                      "' is not debug, info, warning or error");
}

std::string sanitizeForLog(std::string_view Text, std::size_t MaxBytes) {
  std::string out(Text.substr(0, MaxBytes));
  std::replace_if(
      out.begin(), out.end(),
      [](char Char) { return Char < ' ' || Char > '~'; }, '?');
  return out;
}

std::string formatLogLine(std::uint64_t WallMicroseconds, LogLevel Level,
                          std::string_view Instance, std::string_view Message,
                          const std::vector<EventField> &Fields) {
  std::string line;
  appendField(line, "time", utcText(WallMicroseconds));
  appendField(line, "level", toText(Level));
  appendField(line, "instance", Instance);
  appendField(line, "message", Message);
  for (const EventField &it : Fields)
    appendField(line, it.Key, isSecret(it.Key) ? Redacted : it.Value);
  line += "}";
  return line;
}

Log::Log(Settings Limits, std::shared_ptr<spdlog::logger> Sink)
    : Limits(std::move(Limits)), Sink(std::move(Sink)) {}

std::shared_ptr<Log> Log::create(Settings Limits) {
  std::shared_ptr<spdlog::logger> sink = std::make_shared<spdlog::logger>(
      Limits.Instance, std::make_shared<spdlog::sinks::stderr_sink_mt>());
  // The line is already formatted: spdlog only filters by level.
  sink->set_pattern("%v");
  sink->set_level(spdlogLevel(Limits.MinLevel));
  sink->flush_on(spdlog::level::warn);
  return std::shared_ptr<Log>(new Log(std::move(Limits), std::move(sink)));
}

void Log::write(LogLevel Level, std::string_view Message,
                const std::vector<EventField> &Fields) {
  spdlog::level::level_enum level = spdlogLevel(Level);
  if (!Sink->should_log(level))
    return;
  std::string line =
      formatLogLine(wallMicros(), Level, Limits.Instance, Message, Fields);
  Sink->log(level, spdlog::string_view_t(line.data(), line.size()));
}

} // namespace wasabi
