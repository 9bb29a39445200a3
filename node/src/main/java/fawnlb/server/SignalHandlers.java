package fawnlb.server;

import java.lang.reflect.Proxy;

/**
 * Installs handlers of signals, which end a Java program unless they are handled. The platform has no public interface
 * for that; {@code sun.misc} of the module {@code jdk.unsupported} is the one that it keeps. It is called by
 * reflection, because the compiler's warning of it cannot be suppressed.
 */
public final class SignalHandlers {
    private SignalHandlers() {}

    /**
     * Runs a task at each signal of a name, on a thread of its own.
     *
     * @param signalName the name without {@code SIG}
     * @return false if the process was started with the signal ignored, as nohup does with HUP; then it never comes
     * @throws IllegalStateException if the platform does not let the signal be handled
     */
    public static boolean install(String signalName, Runnable task) {
        try {
            Class<?> signalClass = Class.forName("sun.misc.Signal");
            Class<?> handlerClass = Class.forName("sun.misc.SignalHandler");
            Object signal = signalClass.getConstructor(String.class).newInstance(signalName);
            Object previousHandler = signalClass
                    .getMethod("handle", signalClass, handlerClass)
                    .invoke(null, signal, createHandler(handlerClass, task));
            return previousHandler != handlerClass.getField("SIG_IGN").get(null);
        } catch (ReflectiveOperationException | IllegalArgumentException e) {
            throw new IllegalStateException("SIG" + signalName + " cannot be handled here", e);
        }
    }

    private static Object createHandler(Class<?> handlerClass, Runnable task) {
        return Proxy.newProxyInstance(
                SignalHandlers.class.getClassLoader(), new Class<?>[] {handlerClass}, (proxy, method, arguments) -> {
                    if (method.getName().equals("handle")) {
                        task.run();
                    }
                    return null;
                });
    }
}
