/**
 * Rate limits of tenants that hold over all proxies together.
 *
 * <p>Each tenant has a token bucket at the controller that holds the lease on its share of the tenants ({@code
 * QuotaGranter}). Proxies ask for a few requests' worth of tokens at a time ({@link org.umbermount.quota.QuotaClient})
 * and let unused ones expire, so that no proxy keeps what another one needs.
 *
 * <p>Start reading with {@code Bucket}, then {@code QuotaGranter}. What the limits guarantee while controllers fail is
 * in {@code docs/quotas.md}.
 */
package org.umbermount.quota;
