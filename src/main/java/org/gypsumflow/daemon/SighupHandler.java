package org.gypsumflow.daemon;

import java.lang.reflect.Proxy;

/**
 * Handles SIGHUP, which would otherwise terminate the process.
 *
 * <p>The JDK has no supported API for signals. The unsupported {@code sun.misc.Signal} is called by reflection, since
 * the compiler's warning about its direct use cannot be suppressed.
 */
final class SighupHandler {
    private SighupHandler() {}

    /**
     * Installs a handler that runs an action at each SIGHUP.
     *
     * @param action action to run, on a thread of the Java runtime
     * @throws IllegalStateException if this Java runtime does not support signal handlers
     */
    @SuppressWarnings("ProxyNonConstantType")
    static void install(Runnable action) {
        try {
            Class<?> signalClass = Class.forName("sun.misc.Signal");
            Class<?> handlerClass = Class.forName("sun.misc.SignalHandler");
            Object handlerProxy = Proxy.newProxyInstance(
                    SighupHandler.class.getClassLoader(), new Class<?>[] {handlerClass}, (proxy, method, arguments) -> {
                        action.run();
                        return null;
                    });
            signalClass
                    .getMethod("handle", signalClass, handlerClass)
                    .invoke(null, signalClass.getConstructor(String.class).newInstance("HUP"), handlerProxy);
        } catch (ReflectiveOperationException unsupported) {
            throw new IllegalStateException("this Java runtime does not support a handler for SIGHUP", unsupported);
        }
    }
}
