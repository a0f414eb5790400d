package org.woadvale.common.rpc;

/** A message that asks a peer for something: each says whether it may be sent again. docs/calls.md */
public sealed interface RpcRequest permits RepeatableRequest, AtMostOnceRequest {}
