#ifndef REVIEW_STANDINS_2_RECORD_H
#define REVIEW_STANDINS_2_RECORD_H

#include <fstream>
#include <mutex>
#include <string>

namespace review {

/// \class Record
/// \brief The file record.txt: what was sent, answered and run, a line each
/// with the time in milliseconds since the start.
class Record {
public:
  explicit Record(const std::string &Path) : File(Path) {}

  void write(const std::string &Line);

private:
  std::mutex Mutex;
  std::ofstream File;
};

} // namespace review

#endif
