// Tests of the data folder of a replica: synced data survives every crash, corruption is detected,
// and a failed write leaves no partially accepted entry.
#include "storage/file_disk.h"
#include "storage/format.h"
#include "storage/replica_store.h"
#include "support/fake_disk.h"
#include "support/test_certificate_authority.h"
#include "support/test_table.h"

#include <QByteArray>

#include <filesystem>
#include <fstream>
#include <random>

namespace corianderhoist {
namespace {

constexpr std::uint64_t kReplicaId = 77;

hard_state MemberState(std::uint64_t term) {
  return {.replica_id = kReplicaId, .group = 9, .term = term, .voted_for = 5, .has_log = true};
}

std::vector<log_entry> Entries(std::uint64_t first, std::uint64_t count, std::size_t size = 10) {
  std::vector<log_entry> entries;
  for (std::uint64_t i = first; i < first + count; ++i) {
    entries.push_back(
        {i, 3, entry_kind::kCommand, std::string(size, static_cast<char>('a' + i % 26))});
  }
  return entries;
}

storage_write MakeAppend(std::uint64_t first, std::uint64_t count, std::size_t size = 10) {
  storage_write write;
  write.entries = Entries(first, count, size);
  return write;
}

std::unique_ptr<replica_store> OpenStore(disk& files) {
  return Expect([&] { return replica_store::Open(files, kReplicaId); });
}

// Returns the error of `call`; fails the test if the call succeeds.
error ExpectFailure(const std::function<result<void>()>& call) {
  bool has_failed = false;
  error failure = Recover(
      [&]() -> result<error> {
        BOOST_LEAF_CHECK(call());
        return error();
      },
      [&](const error& cause) {
        has_failed = true;
        return cause;
      });
  CPPUNIT_ASSERT_MESSAGE("the call succeeded", has_failed);
  return failure;
}

void Write(replica_store& store, const storage_write& write) {
  Expect([&]() -> result<int> {
    BOOST_LEAF_CHECK(store.Write(write));
    return 0;
  });
}

result<void> TryOpen(disk& files) {
  BOOST_LEAF_CHECK(replica_store::Open(files, kReplicaId));
  return {};
}

// Stores the state and two batches: entries 1 to 3 and entries 4 to 6.
void WriteTwoBatches(fake_disk& files) {
  auto store = OpenStore(files);
  storage_write first = MakeAppend(1, 3);
  first.state = MemberState(3);
  Write(*store, first);
  Write(*store, MakeAppend(4, 3));
}

const std::string kFirstSegment = "log-00000000000000000001";

const test_table kCrcTestVectors("storage",
                                 "CRC-32C matches the check values of CRC-32/ISCSI (RFC 3720)",
                                 [] {
                                   CPPUNIT_ASSERT_EQUAL(std::uint32_t(0xE3069283),
                                                        Crc32c("123456789"));
                                   CPPUNIT_ASSERT_EQUAL(std::uint32_t(0x8A9136AA),
                                                        Crc32c(std::string(32, '\0')));
                                 });

const test_table kReopen("storage", "state, snapshot and entries are read back", [] {
  fake_disk files;
  WriteTwoBatches(files);
  storage_write write;
  write.new_snapshot = std::make_shared<const snapshot>(snapshot{4, 3, 1, "members", "data"});
  Write(*OpenStore(files), write);
  const stored_state stored = OpenStore(files)->TakeRecovered();
  CPPUNIT_ASSERT(stored.state == MemberState(3));
  CPPUNIT_ASSERT(stored.entries == Entries(1, 6));
  CPPUNIT_ASSERT_EQUAL(std::string("data"), stored.last_snapshot->data);
  CPPUNIT_ASSERT_EQUAL(std::string("members"), stored.last_snapshot->membership);
});

// The state file of `MemberState(3)` as written before the leader was recorded.
std::string FormerStateFile() {
  return QByteArray::fromHex(
             "4348535401000000e98077da"
             "4d0000000000000009000000000000000300000000000000050000000000000001"
             "00")
      .toStdString();
}

// Guards against a data folder that an upgrade makes unreadable, and against a leader that is
// assumed although the former version did not record it.
const test_table kFormerState("storage", "a state file of the former format is read", [] {
  fake_disk files;
  WriteTwoBatches(files);
  Expect([&]() -> result<int> {
    BOOST_LEAF_CHECK(ReplaceFile(files, "state", FormerStateFile()));
    return 0;
  });
  const stored_state stored = OpenStore(files)->TakeRecovered();
  CPPUNIT_ASSERT(stored.state == MemberState(3));
  CPPUNIT_ASSERT(stored.state.leader == leader_record::kUnknown);
});

// Guards against a state file that the former version rejects: it expects the same length and reads
// a last byte other than 0 as "bootstrap is blocked", which a member of a group ignores.
const test_table kStateForFormer("storage", "a leader record changes only one flag byte", [] {
  hard_state state = MemberState(3);
  state.leader = leader_record::kVotedFor;
  const std::string bytes = EncodeState(state);
  CPPUNIT_ASSERT(Expect([&] { return DecodeState(bytes); }) == state);
  const std::string former = FormerStateFile();
  CPPUNIT_ASSERT_EQUAL(former.size(), bytes.size());
  constexpr std::size_t kBodyStart = 12;
  CPPUNIT_ASSERT_EQUAL(former.substr(kBodyStart, former.size() - kBodyStart - 1),
                       bytes.substr(kBodyStart, bytes.size() - kBodyStart - 1));
  state.group = 0;
  CPPUNIT_ASSERT_EQUAL('\0', EncodeState(state).back());
});

const test_table kTruncate("storage", "entries from the truncation index on are replaced", [] {
  fake_disk files;
  WriteTwoBatches(files);
  storage_write write = MakeAppend(3, 2, 20);
  write.truncate_from = 3;
  Write(*OpenStore(files), write);
  std::vector<log_entry> expected = Entries(1, 2);
  expected.push_back(Entries(3, 1, 20).front());
  expected.push_back(Entries(4, 1, 20).front());
  CPPUNIT_ASSERT(OpenStore(files)->TakeRecovered().entries == expected);
});

// Guards against a torn log that is reported as corrupt, and against a partially read entry.
const test_table kTornBatch(
    "storage",
    "a log truncated at any byte of its last batch keeps the earlier batches",
    [] {
      fake_disk whole;
      WriteTwoBatches(whole);
      const std::string content = whole.Files().at(kFirstSegment);
      fake_disk first_batch;
      Write(*OpenStore(first_batch), [] {
        storage_write first = MakeAppend(1, 3);
        first.state = MemberState(3);
        return first;
      }());
      const std::size_t synced = first_batch.Files().at(kFirstSegment).size();
      for (std::size_t size = synced; size < content.size(); ++size) {
        fake_disk files;
        WriteTwoBatches(files);
        files.Replace(kFirstSegment, content.substr(0, size));
        const auto entries = OpenStore(files)->TakeRecovered().entries;
        CPPUNIT_ASSERT(entries.size() >= 3 && entries.size() < 6);
        CPPUNIT_ASSERT(entries == Entries(1, entries.size()));
        CPPUNIT_ASSERT(OpenStore(files)->TakeRecovered().entries == entries);
      }
    });

// Guards against a flipped bit that silently drops or changes an entry, a vote or a snapshot.
const test_table kBitFlip("storage", "a flipped bit in any file is reported as storage damage", [] {
  fake_disk original;
  WriteTwoBatches(original);
  storage_write write;
  write.new_snapshot = std::make_shared<const snapshot>(snapshot{4, 3, 1, "members", "data"});
  Write(*OpenStore(original), write);
  for (const auto& [name, content] : original.Files()) {
    for (std::size_t bit = 0; bit < content.size() * 8; ++bit) {
      fake_disk files;
      for (const auto& [other, bytes] : original.Files()) {
        files.Replace(other, bytes);
      }
      std::string flipped = content;
      flipped[bit / 8] = static_cast<char>(flipped[bit / 8] ^ (1 << (bit % 8)));
      files.Replace(name, flipped);
      const error failure = ExpectFailure([&] { return TryOpen(files); });
      CPPUNIT_ASSERT_MESSAGE(name + " bit " + std::to_string(bit),
                             failure.kind == error_kind::kStorageDamaged);
    }
  }
});

struct missing_file_row {
  std::string name;
  std::string file;
};

const test_table kMissingFile("storage damage",
                              std::vector<missing_file_row>{
                                  {"a missing state file is reported", "state"},
                                  {"a missing log is reported", kFirstSegment},
                                  {"a missing segment in the middle is reported",
                                   "log-00000000000000001001"},
                              },
                              std::function([](const missing_file_row& row) {
                                fake_disk files;
                                auto store = OpenStore(files);
                                storage_write first = MakeAppend(1, 1000);
                                first.state = MemberState(3);
                                Write(*store, first);
                                if (row.file != kFirstSegment) {
                                  Write(*store, MakeAppend(1001, 1000));
                                  Write(*store, MakeAppend(2001, 5));
                                }
                                files.Delete(row.file);
                                const error failure = ExpectFailure([&] { return TryOpen(files); });
                                CPPUNIT_ASSERT(failure.kind == error_kind::kStorageDamaged);
                                CPPUNIT_ASSERT(failure.detail.find("learner") != std::string::npos);
                              }));

const test_table
    kUnsupportedVersion("storage", "an unsupported format version is named in the error", [] {
      for (const std::string& name : {std::string("state"), kFirstSegment}) {
        fake_disk files;
        WriteTwoBatches(files);
        std::string content = files.Files().at(name);
        content[4] = 2;
        files.Replace(name, content);
        const error failure = ExpectFailure([&] { return TryOpen(files); });
        CPPUNIT_ASSERT(failure.detail.find("format version 2") != std::string::npos);
      }
    });

// Guards against an entry that is partially accepted on a full disk, and against further writes
// after the failure.
const test_table
    kDiskFull("storage", "a full disk fails the write and all later ones without losing data", [] {
      for (std::uint64_t space = 0; space < 150; ++space) {
        fake_disk files;
        WriteTwoBatches(files);
        auto store = OpenStore(files);
        files.LimitSpace(space);
        const error failure = ExpectFailure([&] { return store->Write(MakeAppend(7, 3, 50)); });
        CPPUNIT_ASSERT_EQUAL(
            std::string("storage_failed: write " + kFirstSegment + ": no space left on device"),
            std::string(AnswerFor(failure.kind).name) + ": " + failure.detail);
        files.LimitSpace(fake_disk::kUnlimited);
        CPPUNIT_ASSERT(ExpectFailure([&] { return store->Write(MakeAppend(7, 1)); }).kind ==
                       error_kind::kStorageFailed);
        CPPUNIT_ASSERT(!store->Failure().empty());
        const auto entries = OpenStore(files)->TakeRecovered().entries;
        CPPUNIT_ASSERT(entries.size() >= 6 && entries.size() < 9);
        CPPUNIT_ASSERT(std::equal(entries.begin(), entries.begin() + 6, Entries(1, 6).begin()));
      }
    });

struct rewrite_case {
  std::string name;
  bool is_rewritten;
};

// A failed sync leaves content in the page cache that a further sync does not write.
const test_table kRewrite("storage",
                          std::vector<rewrite_case>{
                              {"what is recovered after a refused write survives a power cut",
                               true},
                              {"without a rewrite the judge finds lost content", false}},
                          std::function([](const rewrite_case& row) {
                            std::mt19937_64 random(20261205);
                            int lost = 0;
                            for (int round = 0; round < 4000; ++round) {
                              fake_disk files;
                              WriteTwoBatches(files);
                              auto store = OpenStore(files);
                              if (round % 2 == 0) {
                                files.LimitSpace(random() % 400);
                              } else {
                                files.FailOperationsAfter(random() % 8);
                              }
                              storage_write write = MakeAppend(7, 3, 50);
                              write.state = hard_state{.replica_id = 7, .term = 9, .has_log = true};
                              const bool is_written = Recover(
                                  [&]() -> result<bool> {
                                    BOOST_LEAF_CHECK(store->Write(write));
                                    return true;
                                  },
                                  [](const error&) { return false; });
                              files.LimitSpace(fake_disk::kUnlimited);
                              files.FailOperationsAfter(fake_disk::kUnlimited);
                              store = OpenStore(files);
                              if (row.is_rewritten) {
                                Expect([&] { return store->Rewrite(); });
                              }
                              const stored_state recovered = store->TakeRecovered();
                              files.Crash(random);
                              const stored_state after = OpenStore(files)->TakeRecovered();
                              CPPUNIT_ASSERT(after.entries.size() >= (is_written ? 9U : 6U));
                              lost += after.entries.size() < recovered.entries.size() ||
                                              after.state.term < recovered.state.term
                                          ? 1
                                          : 0;
                            }
                            CPPUNIT_ASSERT_MESSAGE(std::to_string(lost),
                                                   row.is_rewritten ? lost == 0 : lost > 0);
                          }));

const test_table kCrashDuringWrite(
    "storage",
    "a crash after any step of a write leaves the old or the new content",
    [] {
      std::mt19937_64 random(20261204);
      for (int round = 0; round < 3000; ++round) {
        fake_disk files;
        WriteTwoBatches(files);
        auto store = OpenStore(files);
        storage_write write = MakeAppend(5, 80);
        write.truncate_from = 5;
        write.state = MemberState(4);
        write.new_snapshot =
            std::make_shared<const snapshot>(snapshot{4, 3, 1, "members", std::string(2000, 'x')});
        files.FailOperationsAfter(random() % 18);
        const bool is_written = Recover(
            [&]() -> result<bool> {
              BOOST_LEAF_CHECK(store->Write(write));
              return true;
            },
            [](const error&) { return false; });
        files.Crash(random);
        const stored_state stored = OpenStore(files)->TakeRecovered();
        CPPUNIT_ASSERT(stored.state == MemberState(3) || stored.state == MemberState(4));
        CPPUNIT_ASSERT(stored.entries.size() >= 4);
        CPPUNIT_ASSERT(
            std::equal(stored.entries.begin(), stored.entries.begin() + 4, Entries(1, 4).begin()));
        if (is_written) {
          CPPUNIT_ASSERT(stored.state == MemberState(4));
          CPPUNIT_ASSERT(stored.last_snapshot != nullptr);
          CPPUNIT_ASSERT_EQUAL(std::size_t(84), stored.entries.size());
        }
      }
    });

// Guards against a log that grows without bound.
const test_table kDiskUsageBounded("storage", "snapshots bound disk usage", [] {
  fake_disk files;
  auto store = OpenStore(files);
  storage_write first = MakeAppend(1, 1, 100);
  first.state = MemberState(3);
  Write(*store, first);
  std::uint64_t largest = 0;
  for (std::uint64_t index = 2; index <= 30'000; index += 10) {
    storage_write write = MakeAppend(index, 10, 100);
    if (index % 1000 == 2 && index > 1000) {
      write.new_snapshot =
          std::make_shared<const snapshot>(snapshot{index - 1, 3, 1, "members", "data"});
      write.keep_from = index - 1000;
    }
    Write(*store, write);
    largest = std::max(largest, files.Bytes());
  }
  // Three segments of 1,000 entries of about 140 bytes.
  CPPUNIT_ASSERT(largest < std::uint64_t(420'000));
  CPPUNIT_ASSERT_EQUAL(std::uint64_t(30'001),
                       OpenStore(files)->TakeRecovered().entries.back().index);
});

struct temporary_folder {
  temporary_folder()
      : path(std::filesystem::temp_directory_path() /
             ("corianderhoist-storage-" + std::to_string(std::random_device()()))) {}
  ~temporary_folder() { std::filesystem::remove_all(path); }
  std::filesystem::path path;
};

const test_table kRealDisk("storage", "a real folder keeps its content and is locked", [] {
  const temporary_folder folder;
  {
    auto files = Expect([&] { return file_disk::Open(folder.path); });
    auto store = OpenStore(*files);
    storage_write first = MakeAppend(1, 2500);
    first.state = MemberState(3);
    Write(*store, first);
    storage_write second = MakeAppend(2000, 10);
    second.truncate_from = 2000;
    Write(*store, second);
    const error failure = ExpectFailure([&]() -> result<void> {
      BOOST_LEAF_CHECK(file_disk::Open(folder.path));
      return {};
    });
    CPPUNIT_ASSERT(failure.detail.find("another process") != std::string::npos);
  }
  auto files = Expect([&] { return file_disk::Open(folder.path); });
  CPPUNIT_ASSERT(OpenStore(*files)->TakeRecovered().entries == Entries(1, 2009));
});

// /dev/full fails every write with ENOSPC, like a full disk.
const test_table kDeviceFull("storage", "a write failure of a real device reports its cause", [] {
  const temporary_folder folder;
  std::filesystem::create_directories(folder.path);
  std::filesystem::create_symlink("/dev/full", folder.path / "state.new");
  auto files = Expect([&] { return file_disk::Open(folder.path); });
  const error failure = ExpectFailure([&] { return files->Append("state.new", "x"); });
  CPPUNIT_ASSERT(failure.kind == error_kind::kStorageFailed);
  CPPUNIT_ASSERT(failure.detail.find("No space left on device") != std::string::npos);
});

}  // namespace
}  // namespace corianderhoist
