#include "serving/probe_reply.h"

namespace corianderhoist {

watch_reply WithoutContact(watch_reply probed, const watch_request& known) {
  probed.core_incarnation = known.core_incarnation;
  probed.conditions_revision = known.conditions_revision;
  probed.conditions.clear();
  probed.limits_revision = known.limits_revision;
  probed.limits.clear();
  probed.is_counting = false;
  return probed;
}

}  // namespace corianderhoist
