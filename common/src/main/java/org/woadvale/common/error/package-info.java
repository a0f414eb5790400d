/**
 * The errors of requests, as exception types over one table of error kinds. A {@code RejectedException} means that the
 * request itself is invalid or not permitted; a {@code RetriableException} means that it was not executed and may
 * succeed later; after an {@code OutcomeUnknownException}, only repeating the request with the same id shows what
 * happened.
 */
package org.woadvale.common.error;
