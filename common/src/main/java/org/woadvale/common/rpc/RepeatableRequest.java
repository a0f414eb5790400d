package org.woadvale.common.rpc;

/**
 * A request that may be resent while the outcome of an earlier transmission is unknown: it only reads, or sets a state
 * that a repetition sets to the same value, or the receiver recognizes the repetition and returns the first response.
 */
public non-sealed interface RepeatableRequest extends RpcRequest {}
