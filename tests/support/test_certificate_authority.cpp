#include "support/test_certificate_authority.h"

#include "base/hash.h"

namespace corianderhoist {

test_certificate_authority::test_certificate_authority()
    : folder_(std::filesystem::temp_directory_path() / ("corianderhoist-" + ToHex(RandomBytes(8)))),
      authority_(Expect([] { return CreateAuthority("test fleet", {}); })) {
  std::filesystem::create_directories(folder_);
  Expect([&]() -> result<int> {
    BOOST_LEAF_CHECK(WriteSecretFile(folder_ / "authority.pem", authority_.certificate));
    return 0;
  });
}

test_certificate_authority::~test_certificate_authority() {
  std::error_code status;
  std::filesystem::remove_all(folder_, status);
}

tls_files test_certificate_authority::Issue(const std::string& role,
                                            const std::string& name,
                                            certificate_validity validity) {
  return Expect([&]() -> result<tls_files> {
    BOOST_LEAF_AUTO(issued, IssueCertificate(authority_, {role, name}, validity));
    tls_files files{folder_ / (name + ".pem"), folder_ / (name + ".key"),
                    folder_ / "authority.pem"};
    BOOST_LEAF_CHECK(WriteSecretFile(files.private_key, issued.private_key));
    BOOST_LEAF_CHECK(WriteSecretFile(files.certificate, issued.certificate));
    return files;
  });
}

std::shared_ptr<tls_identity> test_certificate_authority::Identity(const std::string& role,
                                                                   const std::string& name,
                                                                   certificate_validity validity) {
  return Expect([&] { return tls_identity::Load(Issue(role, name, validity)); });
}

}  // namespace corianderhoist
