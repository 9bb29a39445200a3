/**
 * What teams may ask for through the broker: their classes, models and deadlines, and a budget of requests and tokens
 * per window.
 *
 * <p>{@code fawnlb.config} creates the contracts from the operators' file, and {@code fawnlb.messages} checks each
 * request against them. Contracts are immutable; a {@link fawnlb.contract.Budget} is not, and belongs to the I/O thread
 * that serves requests.
 */
package fawnlb.contract;
