package peer

import (
	"context"
	"fmt"
	"runtime/debug"

	"github.com/sirupsen/logrus"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
)

// recoverUnary answers a call whose handler panics with an error. Without it, one
// malformed message would end the process with all its requests in progress.
func recoverUnary(ctx context.Context, request any, info *grpc.UnaryServerInfo, handle grpc.UnaryHandler) (reply any, err error) {
	defer recoverCall(info.FullMethod, &err)
	return handle(ctx, request)
}

// recoverStream does the same for the handlers of streams.
func recoverStream(server any, stream grpc.ServerStream, info *grpc.StreamServerInfo, handle grpc.StreamHandler) (err error) {
	defer recoverCall(info.FullMethod, &err)
	return handle(server, stream)
}

// recoverCall logs a panic and replaces the result of the call. It must be deferred.
func recoverCall(method string, err *error) {
	cause := recover()
	if cause == nil {
		return
	}
	logrus.WithFields(logrus.Fields{"method": method, "cause": fmt.Sprint(cause), "stack": string(debug.Stack())}).
		Error("the handler of a message from another host failed unexpectedly")
	*err = status.Errorf(codes.Internal, "unexpected error: %v", cause)
}
