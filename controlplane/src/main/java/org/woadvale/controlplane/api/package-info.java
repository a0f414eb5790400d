/**
 * HTTP API of control nodes for operators and the platform, and the requests that control nodes forward to one another.
 */
package org.woadvale.controlplane.api;
