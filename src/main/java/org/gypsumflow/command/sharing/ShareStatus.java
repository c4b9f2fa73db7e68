package org.gypsumflow.command.sharing;

import org.gypsumflow.model.ServiceName;

/**
 * What one share of a service asks for and has, as one entry counts it. Rates are means over about a second, in
 * thousandths of a core.
 *
 * @param service service whose capacity is shared
 * @param key who asks
 * @param capacityShort true while shares decide who goes first
 * @param weight weight of the share against the others of the service
 * @param askedMillicores work that its jobs bring
 * @param grantedMillicores work of its jobs that were placed
 * @param fairMillicores its part of the work that was placed for all; what it asks for, if that is less
 */
public record ShareStatus(
        ServiceName service,
        ShareKey key,
        boolean capacityShort,
        double weight,
        double askedMillicores,
        double grantedMillicores,
        double fairMillicores) {}
