package fawnlb.eventloop;

import java.lang.annotation.Documented;

/** Marks a type or method that any thread may use at any time. A note for readers; nothing checks it. */
@Documented
public @interface ThreadSafe {}
