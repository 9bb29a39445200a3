package fawnlb.eventloop;

import java.lang.annotation.Documented;

/** Marks a type or method that only the event loop's thread may use. A note for readers; nothing checks it. */
@Documented
public @interface EventLoopOnly {}
