/// What an entry VM takes from the answer of a core VM that it only probed, because the state of
/// its own core VM is old. Answers the load of an election or a cut, in which many VMs probe.
#pragma once

#include "fleet/messages.h"

namespace corianderhoist {

/// Returns the fleet state of `probed`, without what belongs to the contact between an entry VM and
/// its core VM: `known`, which the VM states in its next call, keeps its incarnation and
/// revisions. The probed core VM does not count the VM as its own, so its limits set no level.
watch_reply WithoutContact(watch_reply probed, const watch_request& known);

}  // namespace corianderhoist
