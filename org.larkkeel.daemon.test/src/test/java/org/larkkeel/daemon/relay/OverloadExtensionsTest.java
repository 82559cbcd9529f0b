/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.daemon.relay;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.util.List;
import java.util.Optional;
import org.larkkeel.lib.DataCentreName;
import org.larkkeel.lib.HostName;
import org.larkkeel.lib.RequestId;
import org.larkkeel.relay.BuildName;
import org.larkkeel.relay.CallRank;
import org.larkkeel.relay.PromptKey;
import org.larkkeel.relay.RequestTerms;
import org.larkkeel.relay.ReservationRequest;
import org.larkkeel.relay.ServiceName;
import org.testng.annotations.Test;

/** Tests the extensions by which nodes and the coordinator exchange forecasts and rejections. */
public class OverloadExtensionsTest {
  private static final ServiceName MODEL = new ServiceName("model");
  private static final RequestTerms TERMS = new RequestTerms(-77, 3_600, 14_000);
  private static final PeerMessage.Sender SENDER =
      new PeerMessage.Sender(
          new HostName("node-1"),
          new DataCentreName("dc-1"),
          NodeState.YOUNG,
          FeedChanges.NONE,
          ImmutableList.of());

  private static ReservationRequest request(long call) {
    return new ReservationRequest(
            new RequestId(call),
            "wire-" + call,
            MODEL,
            3_600,
            3_200,
            true,
            false,
            17,
            900,
            PromptKey.NONE,
            ImmutableSet.of())
        .withRank(new CallRank(2, 2), Optional.empty());
  }

  private static PeerMessage report(ReservationRequest... requests) {
    return PeerMessage.of(PeerMessage.Kind.REPORT, SENDER)
        .withRequests(ImmutableList.copyOf(requests));
  }

  private static PeerMessage roundTrip(PeerMessage message) {
    return PeerMessageCodec.fromBytes(PeerMessageCodec.toBytes(message)).orElseThrow();
  }

  /** Builds of requests. */
  public static class Builds extends OverloadExtensionsTest {
    @Test
    public void passWithTheirRequests() {
      PeerMessage message =
          report(request(1), request(2).withBuild(Optional.of(new BuildName("v1"))), request(3));
      assertEquals(roundTrip(message), message);
    }

    /** Guards against the build of another request, which would leave a call without an engine. */
    @Test(expectedExceptions = IllegalArgumentException.class)
    public void ofAnotherNumberOfRequestsAreRejected() {
      RequestBuildsCodec.fromBytes(
          RequestBuildsCodec.toBytes(List.of(Optional.of(new BuildName("v1")))), 2);
    }
  }

  /** Terms of requests. */
  public static class Terms extends OverloadExtensionsTest {
    @Test
    public void passWithTheirRequests() {
      PeerMessage message =
          report(request(1), request(2).withTerms(Optional.of(TERMS)), request(3));
      assertEquals(roundTrip(message), message);
    }

    /** Guards against messages that grow where forecasts do not apply. */
    @Test
    public void addNothingToMessagesWithoutThem() {
      assertTrue(roundTrip(report(request(1))).requests().getFirst().terms().isEmpty());
      int without = PeerMessageCodec.toBytes(report(request(1))).length;
      int with = PeerMessageCodec.toBytes(report(request(1).withTerms(Optional.of(TERMS)))).length;
      assertTrue(with > without && with - without <= 40, with + " and " + without);
    }

    /** Guards against terms that are given to another request. */
    @Test
    public void ofAnotherNumberOfRequestsAreIgnored() {
      MessageExtensions extensions =
          RequestExtensions.of(report(request(1).withTerms(Optional.of(TERMS))));
      ImmutableList<ReservationRequest> requests = ImmutableList.of(request(1), request(2));
      assertTrue(
          RequestExtensions.apply(extensions, requests).stream()
              .allMatch(r -> r.terms().isEmpty()));
    }

    @Test
    public void thatAreMalformedAreIgnored() {
      MessageExtensions extensions =
          MessageExtensions.NONE
              .with(ExtensionId.REQUEST_IDENTITIES, new byte[8])
              .with(ExtensionId.REQUEST_TERMS, new byte[7]);
      ImmutableList<ReservationRequest> requests = ImmutableList.of(request(1));
      long before = ExtensionCounts.PROCESS.malformedCount(ExtensionId.REQUEST_TERMS);
      assertEquals(RequestExtensions.apply(extensions, requests), requests);
      assertEquals(ExtensionCounts.PROCESS.malformedCount(ExtensionId.REQUEST_TERMS), before + 1);
    }
  }

  /** Answers of the coordinator. */
  public static class Answers extends OverloadExtensionsTest {
    @Test
    public void carryRejections() {
      ImmutableList<ReservationRejection> rejections =
          ImmutableList.of(
              new ReservationRejection(new RequestId(5), 1_234),
              new ReservationRejection(new RequestId(Long.MAX_VALUE), 0));
      assertEquals(RejectionsCodec.fromBytes(RejectionsCodec.toBytes(rejections)), rejections);
      assertThrows(IllegalArgumentException.class, () -> RejectionsCodec.fromBytes(new byte[13]));
    }

    @Test
    public void nameServicesWithForecasts() {
      ImmutableSet<ServiceName> services = ImmutableSet.of(MODEL, new ServiceName("other"));
      assertEquals(ForecastsCodec.fromBytes(ForecastsCodec.toBytes(services)), services);
      assertEquals(ForecastsCodec.fromBytes(new byte[0]), ImmutableSet.of());
    }
  }
}
