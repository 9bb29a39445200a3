/**
 * Emulated language-model backends.
 *
 * <p>{@link fawnlb.lab.engine.Engine} models one engine in steps, without sockets and clock;
 * {@link fawnlb.lab.engine.EngineServer} puts it behind sockets and lets scenarios crash, slow down, drain or corrupt
 * it; {@link fawnlb.lab.engine.ApiFormat} is the API that it speaks. Scenarios create the servers and have to call them
 * on the I/O thread of the worker they were created with.
 */
package fawnlb.lab.engine;
