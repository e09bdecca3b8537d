#include "libctl/textfile.h"

#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <cstdio>
#include <cstring>
#include <string_view>
#include <utility>
#include <vector>

#include "libbase/errorcode.h"
#include "libconfig/configurationcodec.h"

namespace fireflytrestle {
namespace {

/// \brief Closes a file descriptor at the end of a scope.
class Descriptor {
 public:
  explicit Descriptor(int descriptor) : m_descriptor(descriptor) {}
  ~Descriptor() { Close(); }

  Descriptor(const Descriptor&) = delete;
  Descriptor& operator=(const Descriptor&) = delete;

  int value() const { return m_descriptor; }

  /// Returns whether the file was closed without an error.
  bool Close() {
    return m_descriptor < 0 || close(std::exchange(m_descriptor, -1)) == 0;
  }

 private:
  int m_descriptor;
};

auto UnreadableFileError(const std::string& path,
                         std::string problem,
                         std::string remedy) {
  return boost::leaf::new_error(
      ErrorCode::kUnreadableFile,
      std::vector<Fault>{{path, std::move(problem), std::move(remedy)}});
}

bool WriteAll(int descriptor, std::string_view text) {
  while (!text.empty()) {
    const ssize_t written = write(descriptor, text.data(), text.size());
    if (written < 0 && errno == EINTR) {
      continue;
    }
    if (written <= 0) {
      return false;
    }
    text.remove_prefix(static_cast<std::size_t>(written));
  }
  return true;
}

}  // namespace

boost::leaf::result<std::string> ReadTextFile(const std::string& path) {
  // Without O_NONBLOCK, opening a named pipe that has no writer would block.
  const Descriptor file(open(path.c_str(), O_RDONLY | O_NONBLOCK | O_CLOEXEC));
  struct stat status {};
  if (file.value() < 0 || fstat(file.value(), &status) != 0) {
    return UnreadableFileError(
        path, std::string("it cannot be read: ") + strerror(errno),
        "check the name and the permissions");
  }
  if (S_ISDIR(status.st_mode)) {
    return UnreadableFileError(path, "it is a directory", "name a file in it");
  }
  if (!S_ISREG(status.st_mode)) {
    return UnreadableFileError(path, "it is not a regular file",
                               "name a regular file");
  }
  std::string text;
  std::array<char, 65536> buffer{};
  while (text.size() <= kMaximumDocumentBytes) {
    const ssize_t count = read(file.value(), buffer.data(), buffer.size());
    if (count < 0 && errno == EINTR) {
      continue;
    }
    if (count < 0) {
      return UnreadableFileError(
          path, std::string("it cannot be read: ") + strerror(errno),
          "check the file and its disk");
    }
    if (count == 0) {
      return text;
    }
    text.append(buffer.data(), static_cast<std::size_t>(count));
  }
  return boost::leaf::new_error(
      ErrorCode::kTooLarge,
      std::vector<Fault>{{path, "it is larger than one megabyte",
                          "check that it is the right file"}});
}

std::optional<Fault> ReplaceTextFile(const std::string& path,
                                     const std::string& text) {
  const auto fail = [&path](int error) {
    return Fault{path, std::string("it cannot be written: ") + strerror(error),
                 "check the folder, its permissions and the free space"};
  };
  const std::string temporary = path + ".tmp-" + std::to_string(getpid());
  unlink(temporary.c_str());
  constexpr mode_t kMode = 0666;  // Limited by the umask of the operator.
  Descriptor file(
      open(temporary.c_str(), O_WRONLY | O_CREAT | O_EXCL | O_CLOEXEC, kMode));
  if (file.value() < 0) {
    return fail(errno);
  }
  if (!WriteAll(file.value(), text) || fsync(file.value()) != 0 ||
      !file.Close() || rename(temporary.c_str(), path.c_str()) != 0) {
    const int error = errno;
    unlink(temporary.c_str());
    return fail(error);
  }
  return std::nullopt;
}

}  // namespace fireflytrestle
