package org.gypsumflow.control;

import java.time.Duration;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Function;
import org.gypsumflow.log.CompactedLog;
import org.gypsumflow.log.CompactedLog.KeyedRecord;
import org.gypsumflow.log.CompactedLog.Page;
import org.gypsumflow.model.Check;
import org.gypsumflow.model.Event;
import org.gypsumflow.model.EventLog;
import org.gypsumflow.model.Member;
import org.gypsumflow.model.MemberName;
import org.gypsumflow.model.ValidationException;

/** Registers a process in the platform's store and connects it to the members that it discovers there. */
public final class MemberDiscovery {
    /** Topic that holds the address of each member, keyed by the name of its host. */
    static final String TOPIC = "gypsumflow-members";

    /** Delay after a failed write of the own address; all processes share the store's rate limits. */
    private static final Duration RETRY_DELAY = Duration.ofMillis(500);

    private final Member self;
    private final CompactedLog store;
    private final SerialExecutor controlExecutor;
    private final ConnectionManager connectionManager;
    private final Function<Member, byte[]> encoder;
    private final Function<byte[], Member> decoder;
    private final EventLog events;
    private boolean writeFailed;

    private MemberDiscovery(
            Member self,
            CompactedLog store,
            SerialExecutor controlExecutor,
            ConnectionManager connectionManager,
            Function<Member, byte[]> encoder,
            Function<byte[], Member> decoder,
            EventLog events) {
        this.self = self;
        this.store = store;
        this.controlExecutor = controlExecutor;
        this.connectionManager = connectionManager;
        this.encoder = encoder;
        this.decoder = decoder;
        this.events = events;
    }

    /**
     * Creates the discovery of a process.
     *
     * @param self this process and its address
     * @param store store that holds the members' addresses
     * @param controlExecutor serial executor of the control thread
     * @param connectionManager opens and keeps the connections to discovered members
     * @param encoder encodes an address for the store
     * @param decoder decodes an address; throws a {@link ValidationException} if it is malformed
     * @param events receives events about failed writes and malformed addresses
     * @return the discovery
     */
    public static MemberDiscovery create(
            Member self,
            CompactedLog store,
            SerialExecutor controlExecutor,
            ConnectionManager connectionManager,
            Function<Member, byte[]> encoder,
            Function<byte[], Member> decoder,
            EventLog events) {
        return new MemberDiscovery(self, store, controlExecutor, connectionManager, encoder, decoder, events);
    }

    /** Writes the own address to the store, and retries until the write succeeds. */
    public void registerSelf() {
        controlExecutor.whenDone(store.put(TOPIC, self.name().value(), encoder.apply(self)), (nothing, failure) -> {
            if (failure == null) {
                return;
            }
            if (!writeFailed) {
                writeFailed = true;
                events.write(Event.STORE_UNREACHABLE, "the write of the own address", failure);
            }
            controlExecutor.schedule(RETRY_DELAY, this::registerSelf);
        });
    }

    /**
     * Starts to consume the members' addresses and to connect to those that this process has to connect to.
     *
     * @param peersListener receives the names of the other entries each time that all addresses were read, on the control
     *     thread
     */
    public void watchMembers(Consumer<Set<MemberName>> peersListener) {
        CompactedLogConsumer.create(
                        store, TOPIC, controlExecutor, page -> peersListener.accept(apply(page)), this::apply, events)
                .start();
    }

    /** Connects to the members of a page, and returns those that are other entries. */
    private Set<MemberName> apply(Page page) {
        Set<MemberName> peers = new HashSet<>();
        page.records().forEach(record -> apply(record)
                .filter(member ->
                        member.role() == Member.Role.ENTRY && !member.name().equals(self.name()))
                .ifPresent(peer -> peers.add(peer.name())));
        return peers;
    }

    /** Returns the member, or empty if its address was deleted or is malformed. */
    private Optional<Member> apply(KeyedRecord record) {
        if (record.value().length == 0) {
            return Optional.empty();
        }
        try {
            Member member = decoder.apply(record.value());
            Check.isTrue(
                    member.name().value().equals(record.key()),
                    "node",
                    "is \"" + member.name() + "\", but must be the key of the record");
            if (isInitiatedHere(member)) {
                connectionManager.maintainConnection(member);
            }
            return Optional.of(member);
        } catch (ValidationException malformed) {
            events.write(Event.MESSAGE_UNREADABLE, "the address of " + record.key(), malformed.getMessage());
            return Optional.empty();
        }
    }

    /**
     * Returns whether this side opens the connection: an entry does to an agent, and of two entries the one whose name
     * sorts first.
     */
    private boolean isInitiatedHere(Member member) {
        return self.role() == Member.Role.ENTRY
                && (member.role() == Member.Role.AGENT || self.name().compareTo(member.name()) < 0);
    }
}
