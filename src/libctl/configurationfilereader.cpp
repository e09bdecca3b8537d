#include "libctl/configurationfilereader.h"

#include <boost/leaf/handle_errors.hpp>
#include <utility>
#include <vector>

#include "libbase/errorcode.h"
#include "libbase/fault.h"
#include "libconfig/configurationcodec.h"
#include "libctl/textfile.h"
#include "libsite/recorddecoder.h"

namespace fireflytrestle {

ConfigurationFileReader::ConfigurationFileReader(const RecordDecoder* decoder,
                                                 std::string key)
    : m_decoder(decoder), m_key(std::move(key)) {}

boost::leaf::result<ConfigurationFileReader::ContentPtr>
ConfigurationFileReader::Read(const std::string& path) const {
  BOOST_LEAF_AUTO(text, ReadTextFile(path));
  if (text.find_first_not_of(" \t\r\n") == std::string::npos) {
    return boost::leaf::new_error(
        ErrorCode::kInvalidConfiguration,
        std::vector<Fault>{
            {path, "it is empty", "check that it is the right file"}});
  }
  std::vector<Fault> faults;
  boost::leaf::result<ContentPtr> content = boost::leaf::try_handle_some(
      [&] { return Decode(text); },
      [&faults](
          const boost::leaf::error_info& error,
          const std::vector<Fault>& all) -> boost::leaf::result<ContentPtr> {
        faults = all;
        return error.error();
      },
      [&faults](const boost::leaf::error_info& error,
                const Fault& fault) -> boost::leaf::result<ContentPtr> {
        faults.push_back(fault);
        return error.error();
      });
  if (content) {
    return content;
  }
  if (faults.empty()) {
    faults.push_back(
        {"", "an error without details occurred", "report it with the file"});
  }
  for (Fault& fault : faults) {
    fault.source = path + (fault.source.empty() ? "" : ": " + fault.source);
  }
  return boost::leaf::new_error(ErrorCode::kInvalidConfiguration,
                                std::move(faults));
}

boost::leaf::result<ConfigurationFileReader::ContentPtr>
ConfigurationFileReader::Decode(const std::string& text) const {
  if (IsDocument(text)) {
    BOOST_LEAF_AUTO(document, ReadDocument(text));
    BOOST_LEAF_AUTO(configuration, FromDocument(document));
    return std::make_shared<const Content>(std::move(configuration));
  }
  BOOST_LEAF_AUTO(record, m_decoder->Decode(m_key, text));
  if (auto* configuration = std::get_if<SiteConfiguration>(&record)) {
    return std::make_shared<const Content>(std::move(*configuration));
  }
  return boost::leaf::new_error(
      ErrorCode::kInvalidConfiguration,
      std::vector<Fault>{{"", "it holds no configuration",
                          "check that it is the right file"}});
}

}  // namespace fireflytrestle
