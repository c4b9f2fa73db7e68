package org.gypsumflow.http;

import org.glassfish.grizzly.filterchain.BaseFilter;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.filterchain.NextAction;
import org.glassfish.grizzly.http.HttpContent;
import org.glassfish.grizzly.http.HttpHeader;
import org.glassfish.grizzly.http.HttpRequestPacket;

/**
 * Holds a request of Grizzly's server back until its body has arrived.
 *
 * <p>On a connection that has carried a suspended request, Grizzly may lose the rest of the body of a later request, if
 * that is handled before the rest arrives. Bodies beyond the limit, and requests whose client waits for a
 * {@code 100 Continue}, are passed on as they come.
 */
final class WholeBodyFilter extends BaseFilter {
    private final int maxBodyBytes;

    private WholeBodyFilter(int maxBodyBytes) {
        this.maxBodyBytes = maxBodyBytes;
    }

    /**
     * Creates the filter.
     *
     * @param maxBodyBytes size up to which bodies are collected, in bytes
     * @return the filter, to be placed between the HTTP codec and the server
     */
    static WholeBodyFilter create(int maxBodyBytes) {
        return new WholeBodyFilter(maxBodyBytes);
    }

    @Override
    public NextAction handleRead(FilterChainContext context) {
        // Other messages are those of other protocols that the codec may switch to.
        if (context.getMessage() instanceof HttpContent content && !content.isLast() && isCollected(content)) {
            return context.getStopAction(content);
        }
        return context.getInvokeAction();
    }

    private boolean isCollected(HttpContent content) {
        HttpHeader header = content.getHttpHeader();
        boolean awaitsContinue =
                header instanceof HttpRequestPacket && ((HttpRequestPacket) header).requiresAcknowledgement();
        return !awaitsContinue
                && header.getContentLength() <= maxBodyBytes
                && content.getContent().remaining() <= maxBodyBytes;
    }
}
