// An entry VM between callers and upstreams that fail in every way that the simulated upstream
// knows. The upstream counts what it executes, so that each promise to the caller can be compared
// with what has happened.
#include "support/entry_fixture.h"
#include "support/test_table.h"

namespace corianderhoist {
namespace {

const test_table kServes("serving",
                         "a GET with a key is served and the upstream never sees the key",
                         [] {
                           entry_fixture fixture;
                           const http_reply reply = fixture.Get("/orders/1");
                           CPPUNIT_ASSERT_EQUAL_MESSAGE(
                               reply.failure + reply.body + fixture.Entry().Output(), 200,
                               reply.status);
                           CPPUNIT_ASSERT_EQUAL(std::string("centre/centre-1"),
                                                reply.Header("corianderhoist-place"));
                         });

}  // namespace
}  // namespace corianderhoist
