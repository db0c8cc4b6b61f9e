// Package reviewbed runs fronts as processes beside the stand-ins of the store and of the
// targets, for the cases 6 to 10 of the review.
package reviewbed
