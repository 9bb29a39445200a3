package fawnlb.translation;

import java.nio.ByteBuffer;

/** Holds a response back until it is complete, and translates it then. */
abstract class WholeBodyTranslator extends ResponseTranslator {
    private final ResponseBody body = new ResponseBody();

    /** The bytes of the response so far. */
    byte[] bodyBytes() {
        return body.toByteArray();
    }

    @Override
    public ByteBuffer feed(ByteBuffer bytes) throws MalformedResponseBodyException {
        body.add(bytes);
        return ByteBuffer.allocate(0);
    }

    @Override
    public int bufferedBytes() {
        return body.size();
    }

    @Override
    public long heapBytes() {
        return body.heapBytes();
    }
}
