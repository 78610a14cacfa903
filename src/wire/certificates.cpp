#include "wire/certificates.h"

#include "base/hash.h"

#include <openssl/evp.h>
#include <openssl/pem.h>
#include <openssl/x509v3.h>

#include <fcntl.h>
#include <unistd.h>

#include <memory>

namespace corianderhoist {
namespace {

template <auto Free>
struct openssl_deleter {
  template <class Type>
  void operator()(Type* object) const {
    Free(object);
  }
};
using key_ptr = std::unique_ptr<EVP_PKEY, openssl_deleter<EVP_PKEY_free>>;
using certificate_ptr = std::unique_ptr<X509, openssl_deleter<X509_free>>;
using bio_ptr = std::unique_ptr<BIO, openssl_deleter<BIO_free_all>>;

constexpr int kSerialBytes = 16;

std::string ReadBio(BIO* bio) {
  char* data = nullptr;
  const long length = BIO_get_mem_data(bio, &data);
  return {data, static_cast<std::size_t>(length)};
}

bool AddExtension(X509* certificate, X509* issuer, int type, const char* value) {
  X509V3_CTX context;
  X509V3_set_ctx(&context, issuer, certificate, nullptr, nullptr, 0);
  std::unique_ptr<X509_EXTENSION, openssl_deleter<X509_EXTENSION_free>> extension(
      X509V3_EXT_conf_nid(nullptr, &context, type, value));
  return extension && X509_add_ext(certificate, extension.get(), -1) == 1;
}

void AddNameEntry(X509_NAME* name, const char* entry, const std::string& value) {
  X509_NAME_add_entry_by_txt(name, entry, MBSTRING_UTF8,
                             reinterpret_cast<const unsigned char*>(value.data()),
                             static_cast<int>(value.size()), -1, 0);
}

certificate_ptr MakeUnsignedCertificate(EVP_PKEY* key, const certificate_validity& validity) {
  certificate_ptr certificate(X509_new());
  X509_set_version(certificate.get(), X509_VERSION_3);
  const std::string serial = RandomBytes(kSerialBytes);
  std::unique_ptr<BIGNUM, openssl_deleter<BN_free>> number(
      BN_bin2bn(reinterpret_cast<const unsigned char*>(serial.data()), kSerialBytes, nullptr));
  BN_to_ASN1_INTEGER(number.get(), X509_get_serialNumber(certificate.get()));
  X509_gmtime_adj(X509_getm_notBefore(certificate.get()), validity.start.count());
  X509_gmtime_adj(X509_getm_notAfter(certificate.get()), validity.end.count());
  X509_set_pubkey(certificate.get(), key);
  return certificate;
}

result<key_pair_pem> SignAndFormat(X509* certificate, EVP_PKEY* own_key, EVP_PKEY* signing_key) {
  const bio_ptr certificate_text(BIO_new(BIO_s_mem()));
  const bio_ptr key_text(BIO_new(BIO_s_mem()));
  if (X509_sign(certificate, signing_key, EVP_sha256()) == 0 ||
      PEM_write_bio_X509(certificate_text.get(), certificate) != 1 ||
      PEM_write_bio_PrivateKey(key_text.get(), own_key, nullptr, nullptr, 0, nullptr, nullptr) !=
          1) {
    return Fail(error_kind::kInternal, "cannot sign a certificate");
  }
  return key_pair_pem{ReadBio(certificate_text.get()), ReadBio(key_text.get())};
}

}  // namespace

result<key_pair_pem> CreateAuthority(const std::string& name, certificate_validity validity) {
  const key_ptr key(EVP_EC_gen("P-256"));
  const certificate_ptr certificate = MakeUnsignedCertificate(key.get(), validity);
  AddNameEntry(X509_get_subject_name(certificate.get()), "CN", name);
  X509_set_issuer_name(certificate.get(), X509_get_subject_name(certificate.get()));
  if (!AddExtension(certificate.get(), certificate.get(), NID_basic_constraints,
                    "critical,CA:TRUE") ||
      !AddExtension(certificate.get(), certificate.get(), NID_key_usage,
                    "critical,keyCertSign,cRLSign") ||
      !AddExtension(certificate.get(), certificate.get(), NID_subject_key_identifier, "hash")) {
    return Fail(error_kind::kInternal, "cannot build an authority certificate");
  }
  return SignAndFormat(certificate.get(), key.get(), key.get());
}

result<key_pair_pem> IssueCertificate(const key_pair_pem& authority,
                                      const certificate_subject& subject,
                                      certificate_validity validity) {
  const bio_ptr certificate_text(BIO_new_mem_buf(authority.certificate.data(), -1));
  const bio_ptr key_text(BIO_new_mem_buf(authority.private_key.data(), -1));
  const certificate_ptr issuer(
      PEM_read_bio_X509(certificate_text.get(), nullptr, nullptr, nullptr));
  const key_ptr issuer_key(PEM_read_bio_PrivateKey(key_text.get(), nullptr, nullptr, nullptr));
  if (!issuer || !issuer_key) {
    return Fail(error_kind::kBadRequest, "the authority's certificate or key cannot be read");
  }
  const key_ptr key(EVP_EC_gen("P-256"));
  const certificate_ptr certificate = MakeUnsignedCertificate(key.get(), validity);
  X509_NAME* name = X509_get_subject_name(certificate.get());
  AddNameEntry(name, "OU", subject.role);
  AddNameEntry(name, "CN", subject.name);
  X509_set_issuer_name(certificate.get(), X509_get_subject_name(issuer.get()));
  const std::string alternative_name = "DNS:" + subject.name;
  if (!AddExtension(certificate.get(), issuer.get(), NID_basic_constraints, "critical,CA:FALSE") ||
      !AddExtension(certificate.get(), issuer.get(), NID_ext_key_usage, "serverAuth,clientAuth") ||
      !AddExtension(certificate.get(), issuer.get(), NID_subject_alt_name,
                    alternative_name.c_str())) {
    return Fail(error_kind::kInternal, "cannot build a certificate for " + subject.name);
  }
  return SignAndFormat(certificate.get(), key.get(), issuer_key.get());
}

result<void> WriteSecretFile(const std::filesystem::path& file, const std::string& text) {
  const std::filesystem::path temporary = file.string() + ".new";
  const int descriptor = ::open(temporary.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0600);
  if (descriptor < 0) {
    return Fail(error_kind::kStorageFailed, "cannot create " + temporary.string());
  }
  const ssize_t written = ::write(descriptor, text.data(), text.size());
  const bool is_synced = ::fsync(descriptor) == 0;
  ::close(descriptor);
  std::error_code status;
  std::filesystem::rename(temporary, file, status);
  if (written != static_cast<ssize_t>(text.size()) || !is_synced || status) {
    return Fail(error_kind::kStorageFailed, "cannot write " + file.string());
  }
  return {};
}

}  // namespace corianderhoist
