/**
 * Operation records: each operation on an idempotent route runs once, however often its client repeats it with the
 * same key.
 *
 * <p>Proxies claim a key before they send the request, and store the response under it afterwards ({@link
 * org.umbermount.idempotency.OperationClient}). The first members of the configuration's chain keep the records
 * ({@code OperationKeeper}) in a log that is replicated along the chain, under the same views.
 *
 * <p>Start reading with {@code OperationRecord}, which has the states of one operation, then {@code OperationStore}.
 * The argument is in {@code docs/idempotency.md}.
 */
package org.umbermount.idempotency;
