package fawnlb.cli;

import java.lang.reflect.Proxy;

/**
 * Signals, which end a Java program unless they are handled. The platform has no public interface for them;
 * {@code sun.misc} of the module {@code jdk.unsupported} is the one that it keeps for this, and it is reached by
 * reflection because the compiler warns of it in a way that can't be suppressed.
 */
final class Signals {
    private Signals() {}

    /**
     * Runs the task at each signal of this name, on a thread of its own.
     *
     * @return false if whoever started the process has it ignore the signal, as nohup does with HUP: it never comes
     *     then
     */
    static boolean handle(String name, Runnable task) {
        try {
            Class<?> signal = Class.forName("sun.misc.Signal");
            Class<?> handler = Class.forName("sun.misc.SignalHandler");
            Object runs = Proxy.newProxyInstance(
                    Signals.class.getClassLoader(), new Class<?>[] {handler}, (proxy, method, arguments) -> {
                        if (method.getName().equals("handle")) {
                            task.run();
                        }
                        return null;
                    });
            Object before = signal.getMethod("handle", signal, handler)
                    .invoke(null, signal.getConstructor(String.class).newInstance(name), runs);
            return before != handler.getField("SIG_IGN").get(null);
        } catch (ReflectiveOperationException | IllegalArgumentException e) {
            throw new IllegalStateException("SIG" + name + " cannot be handled here", e);
        }
    }
}
