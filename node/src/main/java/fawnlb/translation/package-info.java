/**
 * Translation of requests and responses between the two HTTP interfaces that clients and backends speak.
 *
 * <p>A {@link fawnlb.translation.Dialect} names an interface. {@link fawnlb.translation.CompletionRequest} is a request
 * without a dialect: it is decoded from a client's body and encoded for a backend.
 * {@link fawnlb.translation.ResponseTranslator} converts a backend's response to the client's dialect while it arrives:
 * a decoder turns each server-sent event into {@link fawnlb.translation.ResponseDelta}s, and an encoder writes them as
 * events of the other dialect.
 *
 * <p>The handlers of {@code fawnlb.platform} and {@code fawnlb.messages} call the request side, and
 * {@code fawnlb.backend} calls the response side. Objects with state belong to the request that they serve and are
 * called on its I/O thread alone. Nothing here blocks, logs or does I/O.
 */
package fawnlb.translation;
