package fawnlb.server;

import java.lang.reflect.Proxy;

/**
 * Signals, which end a Java program unless they are handled. The platform has no public interface for them;
 * {@code sun.misc} of the module {@code jdk.unsupported} is the one that it keeps for this, and it is reached by
 * reflection because the compiler warns of it in a way that can't be suppressed.
 */
public final class SignalHandlers {
    private SignalHandlers() {}

    /**
     * Runs the task at each signal of this name, on a thread of its own.
     *
     * @return false if whoever started the process has it ignore the signal, as nohup does with HUP: it never comes
     *     then
     */
    public static boolean install(String signalName, Runnable task) {
        try {
            Class<?> signalClass = Class.forName("sun.misc.Signal");
            Class<?> handlerClass = Class.forName("sun.misc.SignalHandler");
            Object handlerProxy = Proxy.newProxyInstance(
                    SignalHandlers.class.getClassLoader(),
                    new Class<?>[] {handlerClass},
                    (proxy, method, arguments) -> {
                        if (method.getName().equals("handle")) {
                            task.run();
                        }
                        return null;
                    });
            Object previousHandler = signalClass
                    .getMethod("handle", signalClass, handlerClass)
                    .invoke(null, signalClass.getConstructor(String.class).newInstance(signalName), handlerProxy);
            return previousHandler != handlerClass.getField("SIG_IGN").get(null);
        } catch (ReflectiveOperationException | IllegalArgumentException e) {
            throw new IllegalStateException("SIG" + signalName + " cannot be handled here", e);
        }
    }
}
