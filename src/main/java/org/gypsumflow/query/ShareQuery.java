package org.gypsumflow.query;

import java.util.List;
import org.gypsumflow.command.sharing.ShareStatus;

/** Lists who shares the capacity of the services at an entry. */
public final class ShareQuery {
    /**
     * A share of a service; the components are written to HTTP responses under their own names. Rates are means over
     * about a second, in thousandths of a core.
     *
     * @param service service whose capacity is shared
     * @param route route of the jobs
     * @param zone availability zone of the entry that accepted them
     * @param capacityShort true while shares decide who goes first
     * @param weight weight of the share against the others of the service
     * @param askedMillicores work that its jobs bring
     * @param grantedMillicores work of its jobs that were placed
     * @param fairMillicores its part of the work that was placed for all; what it asks for, if that is less
     */
    public record Row(
            String service,
            String route,
            String zone,
            boolean capacityShort,
            double weight,
            long askedMillicores,
            long grantedMillicores,
            long fairMillicores) {}

    private ShareQuery() {}

    /**
     * Lists the shares.
     *
     * @param statuses shares as the entry counts them
     * @return one row per share, in the same order
     */
    public static List<Row> list(List<ShareStatus> statuses) {
        return statuses.stream()
                .map(status -> new Row(
                        status.service().value(),
                        status.key().route().value(),
                        status.key().zone().value(),
                        status.capacityShort(),
                        status.weight(),
                        Math.round(status.askedMillicores()),
                        Math.round(status.grantedMillicores()),
                        Math.round(status.fairMillicores())))
                .toList();
    }
}
