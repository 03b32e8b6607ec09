// Tests of a log whose reader pauses. They guard against a process that hangs
// in a write to its log, against torn lines, and against lines that are lost
// without a count.
#include <fcntl.h>
#include <gtest/gtest.h>
#include <unistd.h>

#include <cstdio>
#include <memory>
#include <sstream>
#include <string>
#include <vector>

#include "base/event_log.h"
#include "base/events.h"
#include "base/line_writer.h"

namespace tanagerloom {
namespace {

// Longer than one write of LineWriter.
constexpr std::size_t kLongLineBytes = 10000;
constexpr std::size_t kMaxKeptBytes = 50000;

// A pipe whose reader reads only when the test asks for it.
class Pipe {
 public:
  Pipe() {
    EXPECT_EQ(pipe(ends_), 0);
    fcntl(ends_[0], F_SETFL, O_NONBLOCK);
  }
  ~Pipe() {
    CloseReader();
    close(ends_[1]);
  }
  Pipe(const Pipe&) = delete;
  Pipe& operator=(const Pipe&) = delete;

  int write_end() const { return ends_[1]; }

  // Appends what the pipe holds to `text`.
  void ReadInto(std::string& text) {
    std::string buf(65536, '\0');
    ssize_t n = 0;
    while ((n = read(ends_[0], buf.data(), buf.size())) > 0) {
      text.append(buf, 0, static_cast<std::size_t>(n));
    }
  }

  void CloseReader() {
    if (ends_[0] >= 0) {
      close(ends_[0]);
      ends_[0] = -1;
    }
  }

 private:
  int ends_[2] = {-1, -1};
};

std::string MakeLine(int number, std::size_t size) {
  auto out = std::to_string(number) + ' ';
  out.append(size, 'x');
  return out + '\n';
}

std::vector<std::string> LinesOf(const std::string& text) {
  std::vector<std::string> out;
  std::istringstream in(text);
  for (std::string line; std::getline(in, line);) {
    out.push_back(line + '\n');
  }
  return out;
}

// Flushes and reads until nothing more comes.
std::string DrainAll(LineWriter& writer, Pipe& pipe) {
  std::string out;
  std::size_t previous = 0;
  do {
    previous = out.size();
    writer.Flush();
    pipe.ReadInto(out);
  } while (out.size() > previous);
  return out;
}

TEST(UnreadLog, WriterGoesOnAndCountsWhatItDrops) {
  Pipe pipe;
  LineWriter writer(pipe.write_end(), kMaxKeptBytes);
  constexpr int kLines = 100;
  for (int i = 0; i < kLines; ++i) {
    writer.Write(MakeLine(i, kLongLineBytes));
  }
  EXPECT_TRUE(writer.IsCongested());
  const auto lines = LinesOf(DrainAll(writer, pipe));
  EXPECT_FALSE(writer.IsCongested());
  EXPECT_GT(lines.size(), kMaxKeptBytes / kLongLineBytes);
  EXPECT_EQ(lines.size() + writer.TakeDroppedCount(), kLines);
  for (std::size_t i = 0; i < lines.size(); ++i) {
    EXPECT_EQ(lines[i], MakeLine(static_cast<int>(i), kLongLineBytes));
  }
}

TEST(UnreadLog, LinesAfterThePauseAreWhole) {
  Pipe pipe;
  LineWriter writer(pipe.write_end(), kMaxKeptBytes);
  std::string text;
  for (int i = 0; i < 200; ++i) {
    writer.Write(MakeLine(i, static_cast<std::size_t>(i) * 37 % 9000));
    if (i % 40 == 39) {
      pipe.ReadInto(text);
    }
  }
  text += DrainAll(writer, pipe);
  writer.Write(MakeLine(200, 200 * 37 % 9000));
  text += DrainAll(writer, pipe);
  int last = -1;
  for (const auto& it : LinesOf(text)) {
    const int number = std::stoi(it);
    EXPECT_GT(number, last);
    EXPECT_EQ(it,
              MakeLine(number, static_cast<std::size_t>(number) * 37 % 9000));
    last = number;
  }
  EXPECT_EQ(last, 200);
}

// Guards against a changed mode of a descriptor that other processes share.
TEST(UnreadLog, DescriptorStaysInBlockingMode) {
  Pipe pipe;
  LineWriter writer(pipe.write_end(), kMaxKeptBytes);
  writer.Write(MakeLine(0, kLongLineBytes));
  EXPECT_EQ(fcntl(pipe.write_end(), F_GETFL) & O_NONBLOCK, 0);
}

TEST(UnreadLog, FileGetsAllLines) {
  std::FILE* file = std::tmpfile();
  ASSERT_NE(file, nullptr);
  LineWriter writer(fileno(file), kMaxKeptBytes);
  constexpr int kLines = 100;
  for (int i = 0; i < kLines; ++i) {
    writer.Write(MakeLine(i, kLongLineBytes));
  }
  EXPECT_EQ(writer.TakeDroppedCount(), 0U);
  EXPECT_EQ(lseek(fileno(file), 0, SEEK_END),
            static_cast<off_t>(10 * (MakeLine(0, kLongLineBytes).size()) +
                               90 * MakeLine(10, kLongLineBytes).size()));
  std::fclose(file);
}

// Guards against a process that ends or hangs when the reader of its log left.
TEST(UnreadLog, WriterGoesOnWithoutAReader) {
  Pipe pipe;
  LineWriter writer(pipe.write_end(), kMaxKeptBytes);
  pipe.CloseReader();
  writer.Write(MakeLine(0, kLongLineBytes));
  writer.Write(MakeLine(1, kLongLineBytes));
  EXPECT_EQ(writer.TakeDroppedCount(), 2U);
  EXPECT_FALSE(writer.IsCongested());
}

// Guards against an end of the process that waits for the reader for long.
TEST(UnreadLog, LastFlushEndsWhileNobodyReads) {
  Pipe pipe;
  LineWriter writer(pipe.write_end(), kMaxKeptBytes);
  for (int i = 0; i < 20; ++i) {
    writer.Write(MakeLine(i, kLongLineBytes));
  }
  writer.FlushWithin(std::chrono::milliseconds(1));
  EXPECT_TRUE(writer.IsCongested());
}

// Guards against lines that are missing from the log without a trace: event 106
// tells how many once the reader is back, also if no other event follows.
TEST(UnreadLog, EventTellsHowManyLinesWereDropped) {
  Pipe pipe;
  auto writer = std::make_shared<LineWriter>(pipe.write_end(), kMaxKeptBytes);
  EventLog log("node", /*capacity=*/10, MakeLogger(/*json=*/true, writer));
  constexpr std::uint64_t kEvents = 100;
  for (std::uint64_t i = 0; i < kEvents; ++i) {
    log.Record(events::kNodeStarted,
               {{"node", std::string(kLongLineBytes, 'x')}});
  }
  auto text = DrainAll(*writer, pipe);
  log.Flush();
  pipe.ReadInto(text);
  std::uint64_t written = 0;
  std::uint64_t omitted = 0;
  for (const auto& it : LinesOf(text)) {
    const auto line = nlohmann::json::parse(it);
    if (line.at("number") == events::kEventsOmitted.number) {
      omitted += line.at("fields").at("lines").get<std::uint64_t>();
    } else {
      ++written;
    }
  }
  EXPECT_GT(omitted, 0U);
  EXPECT_EQ(written + omitted, kEvents);
  EXPECT_EQ(log.Since(0).size(), 10U);
}

}  // namespace
}  // namespace tanagerloom
