package fawnlb.backend;

import fawnlb.http.BodyReference;
import fawnlb.memory.MemoryBudget;
import fawnlb.memory.MemoryUse;
import fawnlb.translation.Dialect;

/** Bodies of requests for tests, which nothing limits. */
final class TestBodies {
    private TestBodies() {}

    /** Returns the bodies of a request; one that is null is missing. */
    static RequestBodies of(Dialect clientDialect, byte[] original, byte[] translated) {
        return new RequestBodies(clientDialect, reference(original), reference(translated));
    }

    private static BodyReference reference(byte[] bytes) {
        return bytes == null
                ? null
                : BodyReference.create(bytes, MemoryBudget.unlimited().open(MemoryUse.REQUEST_BODIES));
    }
}
