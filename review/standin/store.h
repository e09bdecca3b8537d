// The platform's store: a key-value store over HTTP/1.1 that can only be read.
#ifndef REVIEW_STANDIN_STORE_H_
#define REVIEW_STANDIN_STORE_H_

#include <algorithm>
#include <map>
#include <string>
#include <vector>

#include "net.h"

namespace standin {

inline std::string Base64(const std::string& in) {
  static const char digits[] =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string out;
  for (std::size_t i = 0; i < in.size(); i += 3) {
    std::uint32_t group = 0;
    for (std::size_t j = 0; j < 3; ++j) {
      group = group << 8 |
              (i + j < in.size() ? static_cast<std::uint8_t>(in[i + j]) : 0U);
    }
    for (std::size_t j = 0; j < 4; ++j) {
      out += i + j <= in.size() ? digits[group >> (18 - 6 * j) & 63] : '=';
    }
  }
  return out;
}

class Store {
 public:
  // Listens once for each reader, so that readers can be told apart.
  Store(std::uint32_t ip, std::uint16_t first_port, std::size_t readers) {
    for (std::size_t i = 0; i < readers; ++i) {
      m_listeners.push_back(
          Open(SOCK_STREAM, {ip, static_cast<std::uint16_t>(first_port + i)}));
    }
    m_rejects.resize(readers);
    m_silent.resize(readers);
  }

  bool IsBound() const {
    for (const int fd : m_listeners) {
      if (fd < 0) {
        return false;
      }
    }
    return true;
  }

  // The return of a write is its acknowledgment.
  void Put(const std::string& key, const std::string& value) {
    Change({key, value, ++m_revision, false, Now()});
  }
  void Remove(const std::string& key) {
    Change({key, "", ++m_revision, true, Now()});
  }

  // Whether the reader's calls are answered with 503.
  void SetRejects(std::size_t reader, bool rejects) {
    m_rejects[reader] = rejects;
  }

  // Whether the reader's requests, also those under way, are never answered.
  void SetSilent(std::size_t reader, bool silent) {
    m_silent[reader] = silent;
    for (Connection& each : m_connections) {
      each.dead = each.dead || (silent && each.reader == reader);
    }
  }

  // How fast each answer is sent; 0 for no limit.
  double bytes_per_ms = 0;

  // The readers that watched the prefix in the last 1.5 s.
  std::vector<std::size_t> Watchers(const std::string& prefix) const {
    std::vector<std::size_t> watchers;
    for (const auto& [key, at] : m_watched) {
      if (key.first == prefix && Now() - at < kWatchedMs) {
        watchers.push_back(key.second);
      }
    }
    return watchers;
  }

  void Run() {
    const double now = Now();
    while (!m_history.empty() && now - m_history.front().at > kHistoryMs) {
      m_oldest = m_history.front().revision;
      m_history.erase(m_history.begin());
    }
    for (std::size_t i = 0; i < m_listeners.size(); ++i) {
      for (int fd; (fd = accept4(m_listeners[i], nullptr, nullptr,
                                 SOCK_NONBLOCK | SOCK_CLOEXEC)) >= 0;) {
        const int on = 1;
        setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
        m_connections.push_back({fd, i, "", "", false, "", 0, 0, m_silent[i]});
      }
    }
    for (Connection& each : m_connections) {
      Serve(&each, now);
    }
    std::erase_if(m_connections,
                  [](const Connection& each) { return each.fd < 0; });
  }

 private:
  static constexpr double kHistoryMs = 20000;
  static constexpr double kWatchedMs = 1500;

  struct Item {
    std::string key;
    std::string value;
    std::uint64_t revision = 0;
    bool removed = false;
    double at = 0;
  };

  struct Connection {
    int fd;
    std::size_t reader;
    std::string in;
    std::string out;
    bool watches;
    std::string prefix;
    std::uint64_t after;
    double until;
    bool dead;
    double sent_at = 0;
  };

  void Change(const Item& change) {
    m_items[change.key] = change;
    m_history.push_back(change);
  }

  static std::string Parameter(const std::string& line,
                               const std::string& name) {
    for (const char* before : {"?", "&"}) {
      const auto at = line.find(before + name + "=");
      if (at != std::string::npos) {
        const auto begin = at + name.size() + 2;
        std::string text =
            line.substr(begin, line.find_first_of("& ", begin) - begin);
        for (auto slash = text.find("%2F"); slash != std::string::npos;
             slash = text.find("%2F")) {
          text.replace(slash, 3, "/");
        }
        return text;
      }
    }
    return "";
  }

  static std::string Json(const Item& item) {
    return "{\"key\":\"" + item.key + "\"," +
           (item.removed ? std::string("\"removed\":true")
                         : "\"value\":\"" + Base64(item.value) +
                               "\",\"lease\":0,\"create_revision\":" +
                               std::to_string(item.revision)) +
           ",\"revision\":" + std::to_string(item.revision) + "}";
  }

  void Answer(Connection* to, int status, const std::string& body) {
    to->watches = false;
    to->out += "HTTP/1.1 " + std::to_string(status) +
               " -\r\nContent-Type: application/json\r\nContent-Length: " +
               std::to_string(body.size()) + "\r\n\r\n" + body;
  }

  std::string List(const std::string& name, const std::string& items) const {
    return "{\"" + name + "\":[" + items +
           "],\"has_more\":false,\"as_of\":" + std::to_string(m_revision) + "}";
  }

  void OnRequest(Connection* from, const std::string& line, double now) {
    if (m_rejects[from->reader]) {
      Answer(from, 503, "{}");
      return;
    }
    const std::string prefix = Parameter(line, "prefix");
    if (line.starts_with("GET /kv-range")) {
      std::string items;
      for (const auto& [key, item] : m_items) {
        if (key.starts_with(prefix) && !item.removed &&
            key > Parameter(line, "after")) {
          items += (items.empty() ? "" : ",") + Json(item);
        }
      }
      Answer(from, 200, List("items", items));
    } else if (line.starts_with("GET /kv-watch")) {
      from->after =
          std::strtoull(Parameter(line, "after").c_str(), nullptr, 10);
      if (from->after < m_oldest) {
        Answer(from, 410, "{}");
        return;
      }
      from->prefix = prefix;
      from->watches = true;
      m_watched[{prefix, from->reader}] = now;
      from->until =
          now + std::strtod(Parameter(line, "wait_ms").c_str(), nullptr);
    } else {
      Answer(from, 404, "{}");
    }
  }

  void Serve(Connection* each, double now) {
    char buffer[4096];
    ssize_t got;
    while ((got = recv(each->fd, buffer, sizeof(buffer), 0)) > 0) {
      each->in.append(buffer, static_cast<std::size_t>(got));
    }
    if (got == 0) {
      close(each->fd);
      each->fd = -1;
      return;
    }
    if (each->dead) {
      return;
    }
    const auto end = each->in.find("\r\n\r\n");
    if (end != std::string::npos && !each->watches) {
      const std::string line = each->in.substr(0, each->in.find("\r\n"));
      each->in.erase(0, end + 4);
      OnRequest(each, line, now);
    }
    if (each->watches) {
      std::string events;
      for (const Item& change : m_history) {
        if (change.revision > each->after &&
            change.key.starts_with(each->prefix)) {
          events += (events.empty() ? "" : ",") + Json(change);
        }
      }
      if (m_rejects[each->reader]) {
        Answer(each, 503, "{}");
      } else if (!events.empty() || now >= each->until) {
        Answer(each, 200, List("events", events));
      }
    }
    if (each->out.empty()) {
      each->sent_at = now;
    }
    while (!each->out.empty()) {
      std::size_t most = each->out.size();
      if (bytes_per_ms > 0) {
        most = std::min(most, static_cast<std::size_t>((now - each->sent_at) *
                                                       bytes_per_ms));
      }
      const ssize_t sent =
          most == 0 ? 0 : send(each->fd, each->out.data(), most, MSG_NOSIGNAL);
      if (sent <= 0) {
        break;
      }
      each->sent_at = now;
      each->out.erase(0, static_cast<std::size_t>(sent));
    }
  }

  std::vector<int> m_listeners;
  std::vector<bool> m_rejects;
  std::vector<bool> m_silent;
  std::map<std::pair<std::string, std::size_t>, double> m_watched;
  std::vector<Connection> m_connections;
  std::map<std::string, Item> m_items;
  std::vector<Item> m_history;
  std::uint64_t m_revision = 100;
  std::uint64_t m_oldest = 0;
};

}  // namespace standin

#endif  // REVIEW_STANDIN_STORE_H_
