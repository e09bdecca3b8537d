#ifndef REVIEW_STANDIN_CASES_H_
#define REVIEW_STANDIN_CASES_H_

#include <functional>
#include <map>
#include <string>

namespace standin {

// A case gets its own folder and a temporary one for logs, and returns the
// exit status.
using Case = std::function<int(const std::string&, const std::string&)>;
const std::map<std::string, Case>& Cases();

}  // namespace standin

#endif  // REVIEW_STANDIN_CASES_H_
