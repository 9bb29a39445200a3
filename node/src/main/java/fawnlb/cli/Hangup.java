package fawnlb.cli;

import java.lang.reflect.Proxy;

/**
 * SIGHUP, which ends a Java program unless it is handled. The platform has no public interface for signals;
 * {@code sun.misc} of the module {@code jdk.unsupported} is the one that it keeps for this, and it is reached by
 * reflection because the compiler warns of it in a way that can't be suppressed.
 */
final class Hangup {
    private Hangup() { }

    /** Runs the task at each SIGHUP, on a thread of its own. */
    static void handle(Runnable task) {
        try {
            Class<?> signal = Class.forName("sun.misc.Signal");
            Class<?> handler = Class.forName("sun.misc.SignalHandler");
            Object runs = Proxy.newProxyInstance(Hangup.class.getClassLoader(), new Class<?>[] {handler},
                    (proxy, method, arguments) -> {
                        if (method.getName().equals("handle")) {
                            task.run();
                        }
                        return null;
                    });
            signal.getMethod("handle", signal, handler).invoke(null,
                    signal.getConstructor(String.class).newInstance("HUP"), runs);
        } catch (ReflectiveOperationException | IllegalArgumentException e) {
            throw new IllegalStateException("SIGHUP cannot be handled here", e);
        }
    }
}
