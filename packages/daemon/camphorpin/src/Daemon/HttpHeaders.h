#ifndef CAMPHORPIN_SRC_DAEMON_HTTPHEADERS_H
#define CAMPHORPIN_SRC_DAEMON_HTTPHEADERS_H

#include "camphorpin/Http.h"
#include "camphorpin/Wire.h"

#include <httplib.h>
#include <string>
#include <string_view>
#include <vector>

namespace camphorpin {

namespace headers {
inline constexpr const char *Caller = "Camphorpin-Caller";
inline constexpr const char *DeadlineMs = "Camphorpin-Deadline-Ms";
inline constexpr const char *Attempt = "Camphorpin-Attempt";
inline constexpr const char *Context = "Camphorpin-Context";
inline constexpr const char *Step = "Camphorpin-Step";
inline constexpr const char *Verdict = "Camphorpin-Verdict";
inline constexpr const char *Reason = "Camphorpin-Reason";
inline constexpr const char *Shed = "Camphorpin-Shed";
inline constexpr const char *Key = "Idempotency-Key";
/// Names under which two headers are hidden from the HTTP library, which would
/// otherwise decode the body and so change it.
inline constexpr const char *HiddenType = "Camphorpin-Hidden-Content-Type";
inline constexpr const char *HiddenCoding =
    "Camphorpin-Hidden-Content-Encoding";
} // namespace headers

/// \returns the headers of \p Source that travel end to end.
std::vector<HeaderField> endToEndHeaders(const httplib::Headers &Source);
std::vector<HeaderField> endToEndHeaders(const HttpResponse &Source);

/// \returns true if the names are equal without regard to case.
bool sameHeader(std::string_view First, std::string_view Second);

/// \returns the value of a header of a payload, or an empty text.
std::string_view headerValue(const Payload &Source, std::string_view Name);

} // namespace camphorpin

#endif
