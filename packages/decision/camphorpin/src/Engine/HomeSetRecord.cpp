#include "camphorpin/src/Engine/HomeSetRecord.h"

#include "camphorpin/Configuration.h"

namespace camphorpin::detail {

std::string formatHomeSetChange(const ServiceName &Service,
                                const ProcessId &Author, const HomeSet &Next) {
  ChangeRecord Record;
  Record.Document = DocumentName("homes/" + Service.string());
  Record.Base = Next.epoch() - 1;
  Record.Content = Next.toJson();
  Record.ChangeId =
      deriveChangeId(Record.Document, Record.Base, Record.Content);
  Record.Author = Author.Address.toString();
  return formatRecord(Record);
}

} // namespace camphorpin::detail
