/**
 * What can go wrong with a request, as types over the one table of kinds. A {@code RejectedException} is the request's
 * own fault; a {@code RetriableException} was not executed and may succeed later; after an {@code
 * OutcomeUnknownException} only asking again with the same id tells what happened.
 */
package org.woadvale.common.error;
