#ifndef FIREFLYTRESTLE_LIBCTL_CONFIGURATIONFILEREADER_H_
#define FIREFLYTRESTLE_LIBCTL_CONFIGURATIONFILEREADER_H_

#include <boost/leaf/result.hpp>
#include <memory>
#include <string>
#include <variant>

#include "libconfig/configuration.h"
#include "libsite/siterecord.h"

namespace fireflytrestle {

class RecordDecoder;

/// \brief Reads files with a configuration in the published form or in the
/// platform's, and recognises the form by the content.
class ConfigurationFileReader {
 public:
  using Content = std::variant<Configuration, SiteConfiguration>;
  using ContentPtr = std::shared_ptr<const Content>;

  /// The platform's form is decoded by \p decoder as the item with key \p key.
  ConfigurationFileReader(const RecordDecoder* decoder, std::string key);

  /// Fails with a std::vector<Fault>, whose sources include the file name.
  boost::leaf::result<ContentPtr> Read(const std::string& path) const;

 private:
  boost::leaf::result<ContentPtr> Decode(const std::string& text) const;

  const RecordDecoder* m_decoder;
  std::string m_key;
};

}  // namespace fireflytrestle

#endif  // FIREFLYTRESTLE_LIBCTL_CONFIGURATIONFILEREADER_H_
