package org.gypsumflow.control;

import java.time.Duration;
import java.util.function.Function;
import org.gypsumflow.log.CompactedLog;
import org.gypsumflow.log.CompactedLog.KeyedRecord;
import org.gypsumflow.log.CompactedLog.Page;
import org.gypsumflow.model.Event;
import org.gypsumflow.model.EventLog;
import org.gypsumflow.model.Member;
import org.gypsumflow.model.ValidationException;

/** Makes a process known to the others through the store, and keeps connections to those that it finds there. */
public final class MemberDiscovery {
    /** Topic that holds the address of each process under the name of its host. */
    static final String TOPIC = "gypsumflow-members";

    /** Pause after a failed write of the own address; the store's rates are shared. */
    private static final Duration PAUSE = Duration.ofMillis(500);

    private final Member self;
    private final CompactedLog store;
    private final SerialExecutor control;
    private final ConnectionManager links;
    private final Function<Member, byte[]> encoder;
    private final Function<byte[], Member> decoder;
    private final EventLog events;
    private boolean lost;

    private MemberDiscovery(
            Member self,
            CompactedLog store,
            SerialExecutor control,
            ConnectionManager links,
            Function<Member, byte[]> encoder,
            Function<byte[], Member> decoder,
            EventLog events) {
        this.self = self;
        this.store = store;
        this.control = control;
        this.links = links;
        this.encoder = encoder;
        this.decoder = decoder;
        this.events = events;
    }

    /**
     * Creates the directory of a process.
     *
     * @param self the process
     * @param store where the addresses are kept
     * @param control the control lane
     * @param links keeps the connections
     * @param encoder writes an address
     * @param decoder reads an address; fails with a {@link ValidationException}
     * @param events receives numbered events
     * @return the directory
     */
    public static MemberDiscovery create(
            Member self,
            CompactedLog store,
            SerialExecutor control,
            ConnectionManager links,
            Function<Member, byte[]> encoder,
            Function<byte[], Member> decoder,
            EventLog events) {
        return new MemberDiscovery(self, store, control, links, encoder, decoder, events);
    }

    /** Writes the own address until the store has taken it. */
    public void registerSelf() {
        control.whenDone(store.put(TOPIC, self.name().value(), encoder.apply(self)), (nothing, failure) -> {
            if (failure == null) {
                return;
            }
            if (!lost) {
                lost = true;
                events.write(Event.STORE_UNREACHABLE, "the own address", failure);
            }
            control.schedule(PAUSE, this::registerSelf);
        });
    }

    /** Reads the addresses of the others from now on. */
    public void watchMembers() {
        CompactedLogConsumer.create(store, TOPIC, control, this::take, this::take, events)
                .start();
    }

    private void take(Page page) {
        page.records().forEach(this::take);
    }

    private void take(KeyedRecord record) {
        if (record.value().length == 0) {
            return;
        }
        try {
            Member member = decoder.apply(record.value());
            if (isDialedFromHere(member)) {
                links.maintainConnection(member);
            }
        } catch (ValidationException damaged) {
            events.write(Event.MESSAGE_UNREADABLE, "the address of " + record.key(), damaged.getMessage());
        }
    }

    /** Entries open the connections to agents; of two entries, the one whose name comes first does. */
    private boolean isDialedFromHere(Member member) {
        return self.role() == Member.Role.ENTRY
                && (member.role() == Member.Role.AGENT || self.name().compareTo(member.name()) < 0);
    }
}
