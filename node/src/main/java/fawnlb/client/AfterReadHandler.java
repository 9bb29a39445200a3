package fawnlb.client;

import org.xnio.conduits.ReadReadyHandler;

/** Runs a task after another handler has read a connection that is ready to be read. */
final class AfterReadHandler implements ReadReadyHandler {
    private final ReadReadyHandler reader;
    private final Runnable afterRead;

    AfterReadHandler(ReadReadyHandler reader, Runnable afterRead) {
        this.reader = reader;
        this.afterRead = afterRead;
    }

    @Override
    public void readReady() {
        reader.readReady();
        afterRead.run();
    }

    @Override
    public void forceTermination() {
        reader.forceTermination();
    }

    @Override
    public void terminated() {
        reader.terminated();
    }
}
