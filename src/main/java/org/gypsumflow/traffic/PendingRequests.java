package org.gypsumflow.traffic;

import java.time.Duration;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Function;
import org.gypsumflow.control.Connection;
import org.gypsumflow.control.SerialExecutor;
import org.gypsumflow.model.Message;
import org.gypsumflow.model.RequestId;

/** Sends requests to other processes and matches their replies by request id and connection; thread-safe. */
final class PendingRequests {
    /** Thrown when the connection closes or the timeout passes before the reply; the request may have been executed. */
    static final class NoReplyException extends RuntimeException {
        private static final long serialVersionUID = 1L;

        NoReplyException(String message) {
            super(message);
        }
    }

    private record PendingRequest(Connection connection, CompletableFuture<Message> reply) {}

    private final AtomicLong lastId = new AtomicLong();
    private final Map<RequestId, PendingRequest> pendingById = new ConcurrentHashMap<>();

    private PendingRequests() {}

    static PendingRequests create() {
        return new PendingRequests();
    }

    /**
     * Sends a request.
     *
     * @param messageFactory creates the message for a request id
     * @return the reply, or a {@link NoReplyException}
     */
    CompletableFuture<Message> send(
            Connection connection,
            SerialExecutor executor,
            Duration timeout,
            Function<RequestId, Message> messageFactory) {
        RequestId request = RequestId.of(lastId.incrementAndGet());
        CompletableFuture<Message> reply = new CompletableFuture<>();
        pendingById.put(request, new PendingRequest(connection, reply));
        reply.whenComplete((message, failure) -> pendingById.remove(request));
        executor.schedule(
                timeout, () -> reply.completeExceptionally(new NoReplyException("no reply within the timeout")));
        connection.send(messageFactory.apply(request));
        return reply;
    }

    /** Completes a request with its reply; a reply on another connection than the request is ignored. */
    void complete(RequestId request, Connection connection, Message message) {
        PendingRequest pending = pendingById.get(request);
        if (pending != null && pending.connection().equals(connection)) {
            pending.reply().complete(message);
        }
    }

    /** Fails all requests that were sent on a closed connection. */
    void failRequestsOn(Connection connection) {
        pendingById.values().forEach(pending -> {
            if (pending.connection().equals(connection)) {
                pending.reply().completeExceptionally(new NoReplyException("the connection closed before the reply"));
            }
        });
    }
}
