#include "libnet/platformclient.h"

#include <QNetworkProxy>
#include <QNetworkReply>
#include <QNetworkRequest>
#include <QUrl>
#include <QUrlQuery>
#include <boost/leaf/handle_errors.hpp>
#include <string_view>

#include "libbase/fault.h"
#include "libconfig/configurationcodec.h"
#include "libnet/taskqueue.h"

namespace fireflytrestle {

namespace {

constexpr int kHttpOk = 200;
constexpr int kHttpNotModified = 304;
constexpr char kTooLargeProperty[] = "fireflytrestleTooLarge";

QUrl MakeUrl(const SocketAddress& platform, const ReadPlatformDocument& read) {
  QUrl url(QString::fromStdString("http://" + ToString(platform)));
  url.setPath(read.kind == DocumentKind::kConfiguration ? "/v1/configuration"
                                                        : "/v1/instances");
  QUrlQuery query;
  query.addQueryItem("after",
                     QString::number(static_cast<qulonglong>(read.after)));
  query.addQueryItem(
      "wait_ms", QString::number(static_cast<qlonglong>(read.wait.count())));
  url.setQuery(query);
  return url;
}

void AbortIfTooLarge(QNetworkReply* reply) {
  const qint64 content_length =
      reply->header(QNetworkRequest::ContentLengthHeader).toLongLong();
  if (content_length > PlatformClient::kMaxDocumentBytes ||
      reply->bytesAvailable() > PlatformClient::kMaxDocumentBytes) {
    reply->setProperty(kTooLargeProperty, true);
    reply->abort();
  }
}

/// Parses \p body into \p result. Returns why that failed; empty on success.
std::string ReadBody(const QByteArray& body, PlatformReadResult* result) {
  return boost::leaf::try_handle_all(
      [&]() -> boost::leaf::result<std::string> {
        BOOST_LEAF_ASSIGN(
            result->document,
            ReadDocument(std::string_view(
                body.constData(), static_cast<std::size_t>(body.size()))));
        return std::string();
      },
      [](const std::vector<Fault>& faults) {
        return faults.empty()
                   ? std::string("the document cannot be read")
                   : faults.front().source + ": " + faults.front().problem;
      },
      [] { return std::string("the document cannot be read"); });
}

}  // namespace

PlatformClient::PlatformClient(const SocketAddress& platform, Handler handler)
    : m_platform(platform), m_handler(std::move(handler)) {
  m_manager.setProxy(QNetworkProxy::NoProxy);
  m_manager.setRedirectPolicy(QNetworkRequest::ManualRedirectPolicy);
}

void PlatformClient::Read(const ReadPlatformDocument& read) {
  QNetworkReply* reply =
      m_manager.get(QNetworkRequest(MakeUrl(m_platform, read)));
  QObject::connect(reply, &QNetworkReply::metaDataChanged, reply,
                   [reply] { AbortIfTooLarge(reply); });
  QObject::connect(reply, &QNetworkReply::readyRead, reply,
                   [reply] { AbortIfTooLarge(reply); });
  QObject::connect(reply, &QNetworkReply::finished, reply,
                   [this, reply, kind = read.kind] { Finish(reply, kind); });
  // Limits the duration of the whole read. QNetworkRequest's own timeout
  // restarts with every byte, so a response that trickles in would never end.
  CallAfter(reply, read.wait + kTransferTimeout, [reply] { reply->abort(); });
}

void PlatformClient::Finish(QNetworkReply* reply, DocumentKind kind) {
  reply->deleteLater();
  PlatformReadResult result;
  result.kind = kind;
  const int status =
      reply->attribute(QNetworkRequest::HttpStatusCodeAttribute).toInt();
  std::string problem;
  if (reply->property(kTooLargeProperty).toBool()) {
    result.outcome = PlatformReadResult::Outcome::kInvalid;
    problem = "the response is longer than 1 MiB";
  } else if (reply->error() != QNetworkReply::NoError) {
    problem = reply->errorString().toStdString();
  } else if (status == kHttpNotModified) {
    result.outcome = PlatformReadResult::Outcome::kNotModified;
  } else if (status == kHttpOk) {
    problem = ReadBody(reply->readAll(), &result);
    result.outcome = problem.empty() ? PlatformReadResult::Outcome::kDocument
                                     : PlatformReadResult::Outcome::kInvalid;
  } else {
    problem = "the response has HTTP status " + std::to_string(status);
  }
  m_handler(result, problem);
}

}  // namespace fireflytrestle
