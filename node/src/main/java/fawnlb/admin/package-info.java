/**
 * What operators can ask a running server: {@link fawnlb.admin.AdminHandler} answers on a listener of its own, and
 * {@link fawnlb.admin.AdminClient} asks it for the {@code targets} command. The handler runs on the I/O thread and
 * changes nothing; the client blocks the thread that calls it.
 */
package fawnlb.admin;
