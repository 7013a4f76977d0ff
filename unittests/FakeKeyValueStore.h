//===- FakeKeyValueStore.h - in-memory key-value store ----------*- C++ -*-===//
//
// Compare-and-swap and leases on virtual time. The simulations that use this
// class drop calls and responses themselves.
//
//===----------------------------------------------------------------------===//

#ifndef OSPREYSPUR_UNITTESTS_FAKEKEYVALUESTORE_H
#define OSPREYSPUR_UNITTESTS_FAKEKEYVALUESTORE_H

#include "ospreyspur/Platform/KeyValue.h"

#include <map>
#include <string>

namespace ospreyspur::test {

/// A key-value store without faults.
class FakeKeyValueStore {
public:
  /// Performs \p call at \p now.
  KvReply perform(const KvCall &call, TimePoint now) {
    std::erase_if(Entries, [now](const auto &it) {
      return it.second.Lease > Duration::zero() && it.second.Expires <= now;
    });
    if (const auto *get = std::get_if<KvGet>(&call))
      return read(get->Key);
    if (const auto *renew = std::get_if<KvRenew>(&call)) {
      auto it = Entries.find(renew->Key);
      if (it == Entries.end() || it->second.At != renew->WrittenRevision)
        return {ResultCode::NotFound, {}, {}};
      it->second.Expires = now + it->second.Lease;
      return {ResultCode::Ok, renew->WrittenRevision, {}};
    }
    const auto &put = std::get<KvPut>(call);
    KvReply present = read(put.Key);
    if (present.At != put.Expected)
      return {ResultCode::PlatformConflict, present.At, present.Value};
    Last = Revision(Last.get() + 1);
    Entries[put.Key] = {put.Value, Last, put.Lease, now + put.Lease};
    return {ResultCode::Ok, Last, {}};
  }

private:
  struct StoredItem {
    std::string Value;
    Revision At;
    Duration Lease{};
    TimePoint Expires;
  };

  KvReply read(const std::string &key) const {
    auto it = Entries.find(key);
    if (it == Entries.end())
      return {ResultCode::NotFound, {}, {}};
    return {ResultCode::Ok, it->second.At, it->second.Value};
  }

  std::map<std::string, StoredItem> Entries;
  Revision Last;
};

} // namespace ospreyspur::test

#endif // OSPREYSPUR_UNITTESTS_FAKEKEYVALUESTORE_H
