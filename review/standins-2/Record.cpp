#include "Record.h"

#include "Http.h"

#include <iostream>

namespace review {

void Record::write(const std::string &Line) {
  const std::lock_guard<std::mutex> Lock(Mutex);
  File << nowMillis() << " " << Line << "\n" << std::flush;
}

} // namespace review
