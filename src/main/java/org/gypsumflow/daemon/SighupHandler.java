package org.gypsumflow.daemon;

import java.lang.reflect.Proxy;

/**
 * Hears SIGHUP, which would end the process otherwise.
 *
 * <p>The class library has no supported way to hear a signal. Its unsupported one is reached by name, since the compiler
 * warns of it without a way to say that this is meant.
 */
final class SighupHandler {
    private SighupHandler() {}

    /**
     * Runs an action at each SIGHUP from now on.
     *
     * @param action the action
     * @throws IllegalStateException if this Java runtime cannot hear signals
     */
    @SuppressWarnings("ProxyNonConstantType")
    static void install(Runnable action) {
        try {
            Class<?> signal = Class.forName("sun.misc.Signal");
            Class<?> handler = Class.forName("sun.misc.SignalHandler");
            Object listener = Proxy.newProxyInstance(
                    SighupHandler.class.getClassLoader(), new Class<?>[] {handler}, (proxy, method, arguments) -> {
                        action.run();
                        return null;
                    });
            signal.getMethod("handle", signal, handler)
                    .invoke(null, signal.getConstructor(String.class).newInstance("HUP"), listener);
        } catch (ReflectiveOperationException missing) {
            throw new IllegalStateException("this Java runtime cannot hear SIGHUP", missing);
        }
    }
}
